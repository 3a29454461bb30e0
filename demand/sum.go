package demand

import (
	"cmp"
	"slices"
	"time"
)

// sum adds up the reports of a domain on one service.
type sum struct {
	totals Totals
	rooms  []float64
	// weightedLifetime is the sum of the lifetimes, in nanoseconds, times the streams under way, and lifetime the sum without weights.
	weightedLifetime, lifetime float64
	// age is the sum of the ages of the reports at the time of the summation.
	age time.Duration
}

// add adds the report of one instance.
func (s *sum) add(r *Report, age time.Duration) {
	t := &s.totals
	t.Instances++
	t.UnderWay += r.UnderWay
	t.Waiting += r.Waiting
	t.ToldToReturn += r.ToldToReturn
	t.ToldRate += r.ToldRate
	for i, n := range r.Ends {
		t.Ends[i] += n
	}
	for i := range r.Classes {
		t.addRates(&r.Classes[i])
	}
	if r.Room > 0 {
		s.rooms = append(s.rooms, r.Room)
	}
	s.weightedLifetime += float64(r.Lifetime) * float64(r.UnderWay)
	s.lifetime += float64(r.Lifetime)
	s.age += age
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

// result returns the totals. The room is the median, since all instances see the same room.
func (s *sum) result() Totals {
	t, n := s.totals, s.totals.Instances
	if rooms := len(s.rooms); rooms > 0 {
		slices.Sort(s.rooms)
		t.Room = (s.rooms[(rooms-1)/2] + s.rooms[rooms/2]) / 2
	}
	if t.UnderWay > 0 {
		t.Lifetime = time.Duration(s.weightedLifetime / float64(t.UnderWay))
	} else {
		t.Lifetime = time.Duration(s.lifetime / float64(n))
	}
	t.Age = s.age / time.Duration(n)
	return t
}

// Compare orders classes by rank and then by account.
func (c Class) Compare(other Class) int {
	return cmp.Or(c.Rank.Compare(other.Rank), cmp.Compare(c.Account, other.Account))
}
