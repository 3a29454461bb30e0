package demand

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// FreshTime is the greatest age of totals that are used.
	FreshTime = 2 * time.Second
	// reportTTL is how long the reports of an instance count after they were made. It is meant to outlast the time between two
	// polls of the instance when one of them is lost.
	reportTTL = 2500 * time.Millisecond
	// summedAtOnce is the number of other instances up to which the sums follow each change of a report at once. The sums of n
	// more than that are computed at most once every n times sumTimePerInstance.
	summedAtOnce       = 32
	sumTimePerInstance = 50 * time.Microsecond
)

// reporter holds the latest reports of an instance.
type reporter struct {
	name    string
	reports []Report
	// at is when the reports were made.
	at time.Time
}

// dated is totals as of a time; its Age is not used.
type dated struct {
	Totals
	at time.Time
}

// Book holds the reports of this instance, on a relay those of the other instances of its failure domain, and the totals of
// domains. It is safe for concurrent use.
type Book struct {
	domain string

	mu sync.Mutex
	// services holds the known services; nil means that none are known yet and any is accepted.
	services map[string]bool
	own      reporter
	// others holds the other instances of the domain in the order of their names.
	others []reporter
	// received holds the totals that other instances sent, in the order of domains and services.
	received []dated
	// local caches the totals of the own domain from the reports, in the order of services.
	local []dated
	// changed is true when reports have changed since summedAt; expiresAt is when the oldest reports that are included expire.
	changed   bool
	summedAt  time.Time
	expiresAt time.Time
}

// NewBook returns an empty Book of an instance in a failure domain.
func NewBook(domain string) *Book { return &Book{domain: domain} }

// SetServices sets the services that the instance knows; reports and totals on others are dropped. Until the first call, those
// on any service are accepted.
func (b *Book) SetServices(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(names) == len(b.services) && !slices.ContainsFunc(names, func(n string) bool { return !b.services[n] }) {
		return
	}
	b.services = make(map[string]bool, len(names))
	for _, name := range names {
		b.services[name] = true
	}
	b.dropUnknownLocked()
}

// dropUnknownLocked drops what is known on services that are unknown now.
func (b *Book) dropUnknownLocked() {
	for i := range b.others {
		b.others[i].reports = slices.DeleteFunc(slices.Clone(b.others[i].reports), func(r Report) bool { return !b.services[r.Service] })
	}
	b.received = slices.DeleteFunc(b.received, func(d dated) bool { return !b.services[d.Service] })
	b.changed, b.summedAt = true, time.Time{}
}

// SetOwn replaces the reports of this instance; the caller must not change them afterwards. It returns the reasons for which
// reports were dropped.
func (b *Book) SetOwn(instance string, reports []Report, now time.Time) []Reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable, dropped := b.usableLocked(reports)
	b.own = reporter{name: instance, reports: usable, at: now}
	b.changed = true
	return dropped
}

// Own returns the reports of this instance; the caller must not change them. It returns nil if they have expired.
func (b *Book) Own(now time.Time) []Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.own.expired(now) {
		return nil
	}
	return b.own.reports
}

// OwnAge returns the age of the reports of this instance.
func (b *Book) OwnAge(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(now.Sub(b.own.at), 0)
}

// Reporters returns the number of other instances of the domain whose reports are known.
func (b *Book) Reporters(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetLocked(now)
	return len(b.others)
}

// AddReports replaces the reports of another instance of the domain by those that it made age ago. Older reports than the known
// ones change nothing. It returns the reasons for which reports were dropped.
func (b *Book) AddReports(instance string, reports []Report, age time.Duration, now time.Time) []Reason {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !nameUsable(instance):
		return []Reason{ReasonName}
	case !ageUsable(age):
		return []Reason{ReasonAge}
	case len(reports) > maxServices:
		return []Reason{ReasonFull}
	case instance == b.own.name:
		return nil
	}
	usable, dropped := b.usableLocked(reports)
	if len(usable) == 0 && len(reports) > 0 {
		return dropped
	}
	i, known := slices.BinarySearchFunc(b.others, instance, func(r reporter, name string) int { return cmp.Compare(r.name, name) })
	switch {
	case !known && len(b.others) >= maxInstances:
		return append(dropped, ReasonFull)
	case !known:
		b.others = slices.Insert(b.others, i, reporter{name: instance})
	case now.Add(-age).Before(b.others[i].at):
		return dropped
	}
	b.others[i].reports, b.others[i].at = usable, now.Add(-age)
	b.changed = true
	return dropped
}

// usableLocked returns the usable ones of the reports of an instance, one for each service, and why the others are dropped.
func (b *Book) usableLocked(reports []Report) (usable []Report, dropped []Reason) {
	usable = reports
	for i := range reports {
		fault := reports[i].fault()
		switch {
		case fault != "":
		case b.services != nil && !b.services[reports[i].Service]:
			fault = ReasonService
		case i-len(dropped) >= maxServices:
			fault = ReasonFull
		case slices.ContainsFunc(reports[:i], func(r Report) bool { return r.Service == reports[i].Service }):
			fault = ReasonName
		}
		switch {
		case fault != "" && len(dropped) == 0:
			usable, dropped = slices.Clone(reports[:i]), []Reason{fault}
		case fault != "":
			dropped = append(dropped, fault)
		case len(dropped) > 0:
			usable = append(usable, reports[i])
		}
	}
	return usable, dropped
}

// expired reports whether the reports no longer count.
func (r *reporter) expired(now time.Time) bool { return now.Sub(r.at) > reportTTL }
