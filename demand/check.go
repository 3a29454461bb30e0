package demand

import (
	"time"
)

// Reason says why a report or totals were dropped.
type Reason string

// Counter returns the name of the counter of what was dropped for the reason.
func (r Reason) Counter() string { return "load_reports_dropped_total{reason=\"" + string(r) + "\"}" }

// Reasons for which reports and totals are dropped.
const (
	// ReasonAge means a negative age or one of more than maxAge.
	ReasonAge Reason = "age"
	// ReasonNumber means a number that is negative, not finite or out of bounds, or a lifetime of more than maxLifetime.
	ReasonNumber Reason = "number"
	// ReasonName means an empty or too long name, or a service that an instance reports twice.
	ReasonName Reason = "name"
	// ReasonClasses means more classes than a report or totals may have.
	ReasonClasses Reason = "classes"
	// ReasonService means a service that the instance doesn't know.
	ReasonService Reason = "service"
	// ReasonFull means that the book has no room for a further instance, service or domain.
	ReasonFull Reason = "full"
)

const (
	// maxAge is the greatest age that a sender may state.
	maxAge = 10 * time.Second
	// maxReportNumber bounds each number of a report: an instance holds far fewer streams. maxNumber bounds those of totals, so that
	// sums cannot overflow.
	maxReportNumber = 1e5
	maxNumber       = 1e9
	// maxLifetime bounds the mean lifetime of streams.
	maxLifetime = time.Hour
	// maxNameBytes bounds the names of instances, domains, services and client accounts.
	maxNameBytes = 128
	// MaxReportClasses bounds the classes of one report, and maxClasses those of the totals of a service.
	MaxReportClasses = 32
	maxClasses       = 64
	// maxServices bounds the services of one instance, and maxDomains and maxInstances the domains and the instances of a domain.
	maxServices  = 32
	maxDomains   = 16
	maxInstances = 4096
)

// fault returns why a report cannot be used; it is empty for a usable one.
func (r *Report) fault() Reason {
	if !nameUsable(r.Service) {
		return ReasonName
	}
	if len(r.Classes) > MaxReportClasses {
		return ReasonClasses
	}
	counts := [...]int{r.UnderWay, r.Waiting, r.ToldToReturn}
	return loadFault(maxReportNumber, counts[:], [...]float64{r.Room, r.ToldRate}, r.Lifetime, &r.Ends, r.Classes)
}

// fault returns why totals cannot be used; it is empty for usable ones.
func (t *Totals) fault() Reason {
	if !nameUsable(t.Service) || !nameUsable(t.Domain) {
		return ReasonName
	}
	if !ageUsable(t.Age) {
		return ReasonAge
	}
	counts := [...]int{t.Instances, t.UnderWay, t.Waiting, t.ToldToReturn}
	return loadFault(maxNumber, counts[:], [...]float64{t.Room, t.ToldRate}, t.Lifetime, &t.Ends, t.Classes)
}

// loadFault returns why the load of a report or totals cannot be used; counts and others hold its numbers, of which none may exceed
// the limit.
func loadFault(
	limit float64, counts []int, others [2]float64, lifetime time.Duration, ends *Ends, classes []Rates,
) Reason {
	for _, n := range counts {
		if !numberUsable(float64(n), limit) {
			return ReasonNumber
		}
	}
	for _, n := range append(others[:], ends[:]...) {
		if !numberUsable(n, limit) {
			return ReasonNumber
		}
	}
	if lifetime < 0 || lifetime > maxLifetime {
		return ReasonNumber
	}
	if len(classes) > maxClasses {
		return ReasonClasses
	}
	for i := range classes {
		if fault := classes[i].fault(limit); fault != "" {
			return fault
		}
	}
	return ""
}

// fault returns why rates cannot be used, of which none may exceed the limit; it is empty for usable ones.
func (r *Rates) fault(limit float64) Reason {
	if len(r.Class.Account) > maxNameBytes {
		return ReasonName
	}
	rank := r.Class.Rank
	for _, n := range [...]float64{r.Offered, r.Refused, r.Returned, float64(rank.Account), float64(rank.Route)} {
		if !numberUsable(n, limit) {
			return ReasonNumber
		}
	}
	return ""
}

// numberUsable reports whether a number can be used; NaN cannot, since each comparison with it is false.
func numberUsable(n, limit float64) bool { return n >= 0 && n <= limit }

// nameUsable reports whether a name is neither empty nor too long.
func nameUsable(name string) bool { return name != "" && len(name) <= maxNameBytes }

// ageUsable reports whether a sender may state an age.
func ageUsable(age time.Duration) bool { return age >= 0 && age <= maxAge }
