package demand

import (
	"cmp"
	"slices"
	"time"
)

// Totals returns the totals of a domain on a service. It returns false if they are unknown or older than FreshTime. For the own
// domain they are known once another instance of it is included. The caller must not change the classes.
func (b *Book) Totals(service, domain string, now time.Time) (Totals, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalsLocked(service, domain, now)
}

// totalsLocked is Totals for a caller that holds the lock.
func (b *Book) totalsLocked(service, domain string, now time.Time) (Totals, bool) {
	found, known := find(b.received, service, domain)
	best, ok := found.as(now)
	ok = known && ok
	if domain != b.domain {
		return best, ok
	}
	b.sumLocked(now)
	if len(b.others) == 0 {
		return best, ok
	}
	// While a domain changes its relay, each relay has a part of the reports; the totals of more instances are used then.
	if found, known = find(b.local, service, domain); known {
		if t, fresh := found.as(now); fresh && (!ok || t.Instances >= best.Instances) {
			return t, true
		}
	}
	return best, ok
}

// All returns all fresh totals that are known; the caller must not change the classes.
func (b *Book) All(now time.Time) []Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sumLocked(now)
	var out []Totals
	for _, d := range b.received {
		if t, ok := d.as(now); ok && d.Domain != b.domain {
			out = append(out, t)
		}
	}
	for _, service := range b.ownServicesLocked() {
		if t, ok := b.totalsLocked(service, b.domain, now); ok {
			out = append(out, t)
		}
	}
	return out
}

// ownServicesLocked returns the services on which there are totals of the own domain.
func (b *Book) ownServicesLocked() []string {
	var names []string
	for _, list := range [...][]dated{b.local, b.received} {
		for _, d := range list {
			if d.Domain == b.domain {
				names = append(names, d.Service)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// LocalTotals returns the totals of the own domain from this instance's own reports and those that it received, even if it
// received none; the caller must not change the classes.
func (b *Book) LocalTotals(now time.Time) []Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sumLocked(now)
	var out []Totals
	for _, d := range b.local {
		if t, ok := d.as(now); ok {
			out = append(out, t)
		}
	}
	return out
}

// AddTotals takes over totals from another instance; older ones than the known ones change nothing. It returns the reasons for
// which totals were dropped.
func (b *Book) AddTotals(totals []Totals, now time.Time) []Reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(totals) > maxServices*maxDomains {
		return []Reason{ReasonFull}
	}
	var dropped []Reason
	for i := range totals {
		if reason := b.addTotalsLocked(&totals[i], now); reason != "" {
			dropped = append(dropped, reason)
		}
	}
	return dropped
}

// addTotalsLocked takes over one of the totals; it returns why it is dropped, or an empty reason.
func (b *Book) addTotalsLocked(t *Totals, now time.Time) Reason {
	if fault := t.fault(); fault != "" {
		return fault
	}
	if b.services != nil && !b.services[t.Service] {
		return ReasonService
	}
	got := dated{Totals: *t, at: now.Add(-t.Age)}
	i, known := slices.BinarySearchFunc(b.received, got, dated.compare)
	switch {
	case known && !got.at.After(b.received[i].at):
	case known:
		b.received[i] = got
	default:
		return b.insertLocked(got, now)
	}
	return ""
}

// insertLocked adds totals on a service or domain on which there were none.
func (b *Book) insertLocked(got dated, now time.Time) Reason {
	b.received = slices.DeleteFunc(b.received, func(d dated) bool { return now.Sub(d.at) > maxAge })
	services, domains := 0, 0
	for i, d := range b.received {
		if d.Domain == got.Domain {
			services++
		}
		if i == 0 || d.Domain != b.received[i-1].Domain {
			domains++
		}
	}
	if services >= maxServices || services == 0 && domains >= maxDomains {
		return ReasonFull
	}
	i, _ := slices.BinarySearchFunc(b.received, got, dated.compare)
	b.received = slices.Insert(b.received, i, got)
	return ""
}

// sumLocked brings the sums of the reports up to date.
func (b *Book) sumLocked(now time.Time) {
	if !b.sumsOutdatedLocked(now) {
		return
	}
	b.forgetLocked(now)
	sums := map[string]*sum{}
	b.expiresAt = now.Add(maxAge)
	if !b.own.expired(now) {
		b.addToLocked(sums, &b.own, now)
	}
	for i := range b.others {
		b.addToLocked(sums, &b.others[i], now)
	}
	b.local = b.local[:0]
	for service, s := range sums {
		t := s.ofDomain()
		t.Service, t.Domain = service, b.domain
		b.local = append(b.local, dated{Totals: t, at: now.Add(-t.Age)})
	}
	slices.SortFunc(b.local, dated.compare)
	b.changed, b.summedAt = false, now
}

// sumsOutdatedLocked reports whether the sums have to be computed again.
func (b *Book) sumsOutdatedLocked(now time.Time) bool {
	if now.After(b.expiresAt) {
		return true
	}
	n := len(b.others)
	return b.changed && (n <= summedAtOnce || now.Sub(b.summedAt) >= time.Duration(n)*sumTimePerInstance)
}

// addToLocked adds the reports of one instance to the sums by service.
func (b *Book) addToLocked(sums map[string]*sum, r *reporter, now time.Time) {
	for i := range r.reports {
		s := sums[r.reports[i].Service]
		if s == nil {
			s = &sum{rooms: make([]float64, 0, len(b.others)+1)}
			sums[r.reports[i].Service] = s
		}
		s.addReport(&r.reports[i], max(now.Sub(r.at), 0))
	}
	if at := r.at.Add(reportTTL); at.Before(b.expiresAt) {
		b.expiresAt = at
	}
}

// forgetLocked forgets the instances whose reports have expired.
func (b *Book) forgetLocked(now time.Time) {
	before := len(b.others)
	b.others = slices.DeleteFunc(b.others, func(r reporter) bool { return r.expired(now) })
	b.changed = b.changed || len(b.others) != before
}

// compare orders totals by domain and service.
func (d dated) compare(other dated) int {
	return cmp.Or(cmp.Compare(d.Domain, other.Domain), cmp.Compare(d.Service, other.Service))
}

// as returns the totals with their age at a time, and whether they are fresh.
func (d dated) as(now time.Time) (Totals, bool) {
	d.Age = max(now.Sub(d.at), 0)
	return d.Totals, d.Age <= FreshTime
}

// find returns the totals of a domain on a service.
func find(list []dated, service, domain string) (dated, bool) {
	for i := range list {
		if list[i].Service == service && list[i].Domain == domain {
			return list[i], true
		}
	}
	return dated{}, false
}
