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
	all := fleetSum{loadSum{totals: Totals{Service: service}}}
	all.addDomain(&own)
	for i := range b.received {
		t, fresh := b.received[i].as(now)
		if fresh && t.Service == service && t.Domain != b.domain {
			all.addDomain(&t)
		}
	}
	return all.result(), true
}

// fleetSum adds up the totals of domains.
type fleetSum struct{ loadSum }

// addDomain adds the totals of a domain. Unlike in the sum of reports, the rooms add up: each domain has its own.
func (f *fleetSum) addDomain(t *Totals) {
	f.add(t)
	f.totals.Room += t.Room
	f.totals.Age = max(f.totals.Age, t.Age)
}
