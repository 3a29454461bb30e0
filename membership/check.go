package membership

import (
	"math"
	"slices"
	"strconv"
)

// maxCounted bounds the number of instances that the relay of a domain can count: far more than any fleet has.
const maxCounted = 4096

// fault is a value of a record or of a count that can't be true, and the instance or domain that it is about.
type fault struct{ about, field, value string }

// usableRecords returns records without those that name no instance. A power that is no number counts as unknown, which is 0, since the
// rest of the record tells that there is an instance.
func usableRecords(records []Record) (usable []Record, faults []fault) {
	usable = make([]Record, 0, len(records))
	for _, r := range records {
		if r.Name == "" {
			faults = append(faults, fault{about: r.Addr, field: "name"})
			continue
		}
		if !(r.Power >= 0) || math.IsInf(r.Power, 1) {
			faults = append(faults, fault{about: r.Name, field: "power", value: strconv.FormatFloat(r.Power, 'g', -1, 64)})
			r.Power = 0
		}
		usable = append(usable, r)
	}
	return usable, faults
}

// countFault returns why the number of instances that a relay counted can't be true, and whether that is so.
func countFault(domain string, n int) (fault, bool) {
	if n >= 0 && n <= maxCounted {
		return fault{}, false
	}
	return fault{about: domain, field: "instances", value: strconv.Itoa(n)}, true
}

// logFaults counts faults, and logs those that the latest read did not show as well.
func (m *Membership) logFaults(faults []fault) {
	for _, f := range faults {
		m.stats.Counter("membership_values_dropped_total{field=\"" + f.field + "\"}").Inc(1)
		if !slices.Contains(m.faults, f) {
			m.log.WithFields(map[string]any{"about": f.about, "field": f.field, "value": f.value}).Warn("value of another instance's record not used")
		}
	}
	m.faults = faults
}
