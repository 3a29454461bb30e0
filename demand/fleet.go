package demand

import "time"

// Fleet returns the load on a service in all domains whose totals are known, with an empty Domain and the greatest Age of them.
// It returns false if the totals of the own domain are unknown.
func (b *Book) Fleet(service string, now time.Time) (Totals, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own, ok := b.totalsLocked(service, b.domain, now)
	if !ok {
		return Totals{}, false
	}
	all := fleetSum{totals: Totals{Service: service}}
	all.add(&own)
	for i := range b.received {
		t, fresh := b.received[i].as(now)
		if fresh && t.Service == service && t.Domain != b.domain {
			all.add(&t)
		}
	}
	return all.result(), true
}

// fleetSum adds up the totals of domains.
type fleetSum struct {
	totals Totals
	// weightedLifetime is the sum of the lifetimes, in nanoseconds, times the streams under way, and lifetime the sum without weights.
	weightedLifetime, lifetime float64
	domains                    int
}

// add adds the totals of a domain. Unlike in the sum of reports, the rooms add up: each domain has its own.
func (f *fleetSum) add(t *Totals) {
	all := &f.totals
	all.Instances += t.Instances
	all.UnderWay += t.UnderWay
	all.Waiting += t.Waiting
	all.Room += t.Room
	all.ToldToReturn += t.ToldToReturn
	all.ToldRate += t.ToldRate
	all.Age = max(all.Age, t.Age)
	for i, n := range t.Ends {
		all.Ends[i] += n
	}
	for i := range t.Classes {
		all.addRates(&t.Classes[i])
	}
	f.weightedLifetime += float64(t.Lifetime) * float64(t.UnderWay)
	f.lifetime += float64(t.Lifetime)
	f.domains++
}

// result returns the sum, with the mean lifetime over streams, or over domains while no stream is under way.
func (f *fleetSum) result() Totals {
	t := f.totals
	if t.UnderWay > 0 {
		t.Lifetime = time.Duration(f.weightedLifetime / float64(t.UnderWay))
	} else {
		t.Lifetime = time.Duration(f.lifetime / float64(f.domains))
	}
	return t
}
