package demand

import (
	"cmp"
	"slices"
	"time"
)

// loadSum adds up loads of several sources: the reports of instances, or the totals of domains.
type loadSum struct {
	totals Totals
	// weightedLifetime is the sum of the lifetimes, in nanoseconds, times the streams under way, and lifetime the sum without weights.
	weightedLifetime, lifetime float64
	sources                    int
}

// add adds the load of a source. It leaves out its room and its age, which reports and totals of domains combine differently.
func (s *loadSum) add(t *Totals) {
	all := &s.totals
	all.Instances += t.Instances
	all.UnderWay += t.UnderWay
	all.Waiting += t.Waiting
	all.ToldToReturn += t.ToldToReturn
	all.ToldRate += t.ToldRate
	for i, n := range t.Ends {
		all.Ends[i] += n
	}
	for i := range t.Classes {
		all.addRates(&t.Classes[i])
	}
	s.weightedLifetime += float64(t.Lifetime) * float64(t.UnderWay)
	s.lifetime += float64(t.Lifetime)
	s.sources++
}

// result returns the sum, with the mean lifetime over streams, or over sources while no stream is under way.
func (s *loadSum) result() Totals {
	t := s.totals
	if t.UnderWay > 0 {
		t.Lifetime = time.Duration(s.weightedLifetime / float64(t.UnderWay))
	} else {
		t.Lifetime = time.Duration(s.lifetime / float64(s.sources))
	}
	return t
}

// sum adds up the reports of a domain on one service.
type sum struct {
	loadSum
	rooms []float64
	// age is the sum of the ages of the reports at the time of the summation.
	age time.Duration
}

// addReport adds the report of one instance.
func (s *sum) addReport(r *Report, age time.Duration) {
	s.add(&Totals{
		Instances: 1, UnderWay: r.UnderWay, Waiting: r.Waiting, Lifetime: r.Lifetime, Ends: r.Ends, Classes: r.Classes,
		ToldToReturn: r.ToldToReturn, ToldRate: r.ToldRate,
	})
	if r.Room > 0 {
		s.rooms = append(s.rooms, r.Room)
	}
	s.age += age
}

// ofDomain returns the totals of the domain. The room is the median, since all instances see the same room.
func (s *sum) ofDomain() Totals {
	t := s.result()
	if rooms := len(s.rooms); rooms > 0 {
		slices.Sort(s.rooms)
		t.Room = (s.rooms[(rooms-1)/2] + s.rooms[rooms/2]) / 2
	}
	t.Age = s.age / time.Duration(s.sources)
	return t
}

// addRates adds the rates of a class. Beyond maxClasses, a further class counts with its neighbour in the order.
func (t *Totals) addRates(r *Rates) {
	at, found := slices.BinarySearchFunc(t.Classes, r.Class, func(have Rates, want Class) int { return have.Class.Compare(want) })
	switch {
	case found:
	case len(t.Classes) >= maxClasses:
		at = min(at, maxClasses-1)
	default:
		t.Classes = slices.Insert(t.Classes, at, Rates{Class: r.Class})
	}
	have := &t.Classes[at]
	have.Offered += r.Offered
	have.Refused += r.Refused
	have.Returned += r.Returned
}

// Compare orders classes by rank and then by account.
func (c Class) Compare(other Class) int {
	return cmp.Or(c.Rank.Compare(other.Rank), cmp.Compare(c.Account, other.Account))
}
