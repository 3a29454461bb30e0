package relay

import (
	"sort"
	"time"
)

// access is how the store treats the calls of one instance.
type access int

const (
	served access = iota
	slow
	refused
	silent
)

// fault is a period in which some instances are disturbed.
type fault struct {
	from, until time.Duration
	// hits tells for each instance whether the fault affects it.
	hits []bool
	// kind is how the store treats the affected instances; it is served if the fault is of another kind.
	kind access
	// killed means that the affected instances do not run during the fault.
	killed bool
	// cut means that the affected instances are partitioned from all others.
	cut bool
}

func (f fault) on(now time.Duration) bool { return f.from <= now && now < f.until }

// day is what happens in one simulation.
type day struct {
	faults []fault
	// accepted holds the times at which configurations are accepted; the first of them has version 2.
	accepted []time.Duration
	// forgotten holds the times at which the store drops its history.
	forgotten []time.Duration
	length    time.Duration
	// promise is how long after its acceptance a configuration may take to be in force.
	promise time.Duration
}

// down reports whether the store serves no instance; no configuration is accepted then.
func (d day) down(now time.Duration, n int) bool {
	for i := range n {
		if a := d.access(i, now); a == served || a == slow {
			return false
		}
	}
	return true
}

func (d day) access(i int, now time.Duration) access {
	worst := served
	for _, f := range d.faults {
		if f.hits[i] && f.on(now) {
			worst = max(worst, f.kind)
		}
	}
	return worst
}

func (d day) killed(i int, now time.Duration) bool {
	for _, f := range d.faults {
		if f.killed && f.hits[i] && f.on(now) {
			return true
		}
	}
	return false
}

// partitioned reports whether two instances cannot reach each other.
func (d day) partitioned(i, j int, now time.Duration) bool {
	for _, f := range d.faults {
		if f.cut && f.on(now) && f.hits[i] != f.hits[j] {
			return true
		}
	}
	return false
}

// always reports whether a condition holds from one time to another; it can change only when a fault begins or ends.
func (d day) always(from, until time.Duration, holds func(time.Duration) bool) bool {
	if !holds(from) {
		return false
	}
	for _, f := range d.faults {
		for _, at := range []time.Duration{f.from, f.until} {
			if from < at && at < until && !holds(at) {
				return false
			}
		}
	}
	return true
}

// events returns the times at which something changes, in order.
func (d day) events() []time.Duration {
	var out []time.Duration
	for _, f := range d.faults {
		out = append(out, f.from, f.until)
	}
	out = append(append(out, d.accepted...), d.forgotten...)
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
