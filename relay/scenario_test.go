package relay

import (
	"sort"
	"time"
)

// access is how the store treats one instance.
type access int

const (
	served access = iota
	slow
	refused
	silent
)

// fault is a bad time of some instances.
type fault struct {
	from, until time.Duration
	// hits says which instances.
	hits []bool
	// kind says what the store does to them; it is served where the fault is another one.
	kind access
	// killed says that they do not run meanwhile.
	killed bool
	// cut says that they reach no instance that the fault does not hit, and none of these reaches them.
	cut bool
}

func (f fault) on(now time.Duration) bool { return f.from <= now && now < f.until }

// day is what happens in one play.
type day struct {
	faults []fault
	// accepted holds when the configurations were accepted; the first is number 2.
	accepted []time.Duration
	// forgotten holds when the store forgets its history.
	forgotten []time.Duration
	length    time.Duration
	// promise is how long a configuration may take.
	promise time.Duration
}

// down reports whether the store serves nobody; nothing is accepted then.
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

// partitioned reports whether two instances do not reach each other.
func (d day) partitioned(i, j int, now time.Duration) bool {
	for _, f := range d.faults {
		if f.cut && f.on(now) && f.hits[i] != f.hits[j] {
			return true
		}
	}
	return false
}

// always reports whether something holds all the time; states change at the bounds of faults only.
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

// events returns the moments at which something changes.
func (d day) events() []time.Duration {
	var out []time.Duration
	for _, f := range d.faults {
		out = append(out, f.from, f.until)
	}
	out = append(append(out, d.accepted...), d.forgotten...)
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
