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
	// affected says for each instance whether the fault affects it.
	affected []bool
	// access is how the store treats the affected instances; it is served if the fault does not concern the store.
	access access
	// killed means that the affected instances do not run during the fault.
	killed bool
	// partitioned means that the affected instances are partitioned from all others.
	partitioned bool
}

func (f fault) on(now time.Duration) bool { return f.from <= now && now < f.until }

// scenario is what happens in one simulation.
type scenario struct {
	faults []fault
	// acceptedAt holds the times at which configurations are accepted; the first of them has version 2.
	acceptedAt []time.Duration
	// historyLostAt holds the times at which the store drops its history.
	historyLostAt []time.Duration
	length        time.Duration
	// applyDeadline is how long after its acceptance a configuration may take to be in force.
	applyDeadline time.Duration
}

// down reports whether the store serves no instance; no configuration is accepted then.
func (d scenario) down(now time.Duration, n int) bool {
	for i := range n {
		if a := d.access(i, now); a == served || a == slow {
			return false
		}
	}
	return true
}

func (d scenario) access(i int, now time.Duration) access {
	worst := served
	for _, f := range d.faults {
		if f.affected[i] && f.on(now) {
			worst = max(worst, f.access)
		}
	}
	return worst
}

func (d scenario) killed(i int, now time.Duration) bool {
	for _, f := range d.faults {
		if f.killed && f.affected[i] && f.on(now) {
			return true
		}
	}
	return false
}

// partitioned reports whether two instances cannot reach each other.
func (d scenario) partitioned(i, j int, now time.Duration) bool {
	for _, f := range d.faults {
		if f.partitioned && f.on(now) && f.affected[i] != f.affected[j] {
			return true
		}
	}
	return false
}

// always reports whether a condition holds from one time to another; it can change only when a fault begins or ends.
func (d scenario) always(from, until time.Duration, holds func(time.Duration) bool) bool {
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
func (d scenario) events() []time.Duration {
	var out []time.Duration
	for _, f := range d.faults {
		out = append(out, f.from, f.until)
	}
	out = append(append(out, d.acceptedAt...), d.historyLostAt...)
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
