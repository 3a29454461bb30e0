package leader

import "time"

const (
	// arrivalGap is how long after a server appeared others of its domain may still follow: the entries of a domain that was cut
	// off, or of servers that the store had lost, come back within a heartbeat of the platform, 1.2 s.
	arrivalGap = 1500 * time.Millisecond
	// maxArrivalWait is the longest that servers are waited for.
	maxArrivalWait = 4 * time.Second
	// arrivalBurst is the number of servers that must appear within arrivalTime to be taken for some of many; servers that replace
	// others one after the other are fewer, and a hole that they leave is not waited with.
	arrivalBurst = 3
	// mostlyMissing is the part of a model's layers that a domain must lack for a single server to be taken for the first of many.
	mostlyMissing = 0.5
)

// arrivals says since when servers have been appearing in a domain, and when the last ones did.
type arrivals struct {
	since time.Time
	// recent holds the latest appearances, the newest first.
	recent [arrivalBurst]time.Time
}

// add returns the arrivals with one more.
func (a arrivals) add(now time.Time) arrivals {
	if now.Sub(a.recent[0]) >= arrivalGap {
		a.since = now
	}
	copy(a.recent[1:], a.recent[:])
	a.recent[0] = now
	return a
}

// expectsMore reports whether more servers may be about to appear in a domain that lacks so large a part of a model, so that what
// seems to be missing is not worth a move.
func (a arrivals) expectsMore(now time.Time, missing float64) bool {
	if now.Sub(a.since) >= maxArrivalWait {
		return false
	}
	if missing > mostlyMissing {
		return now.Sub(a.recent[0]) < arrivalGap
	}
	return now.Sub(a.recent[arrivalBurst-1]) < arrivalGap
}
