package leader

import "time"

const (
	// arrivalGap is how long after a server appeared others of its domain may still follow: the entries of a domain that was
	// partitioned, or of servers whose entries the store had lost, come back within one heartbeat of the platform, 1.2 s.
	arrivalGap = 1500 * time.Millisecond
	// maxArrivalWait is the longest that moves wait for further servers to appear.
	maxArrivalWait = 4 * time.Second
	// arrivalBurst is the number of servers that must appear within arrivalGap to be taken for part of a mass return.
	// Servers that replace others one after the other, as in a release, are fewer, and the layers that are missing meanwhile
	// must not wait.
	arrivalBurst = 3
	// mostlyMissing is the fraction of a model's layers above which a domain lacks so many that even a single server that
	// appears is taken for the first of a mass return.
	mostlyMissing = 0.5
)

// arrivals records since when servers have been appearing in a domain, and when the latest ones appeared.
type arrivals struct {
	since time.Time
	// recent holds the times of the latest appearances, the newest first.
	recent [arrivalBurst]time.Time
}

// add returns the arrivals with one more at now. A pause of arrivalGap before it starts a new series.
func (a arrivals) add(now time.Time) arrivals {
	if now.Sub(a.recent[0]) >= arrivalGap {
		a.since = now
	}
	copy(a.recent[1:], a.recent[:])
	a.recent[0] = now
	return a
}

// expectsMore reports whether more servers are likely to appear soon in a domain that lacks the given fraction of a model's
// layers, so that moving a server to cover the missing layers is not worthwhile yet.
func (a arrivals) expectsMore(now time.Time, missing float64) bool {
	if now.Sub(a.since) >= maxArrivalWait {
		return false
	}
	if missing > mostlyMissing {
		return now.Sub(a.recent[0]) < arrivalGap
	}
	return now.Sub(a.recent[arrivalBurst-1]) < arrivalGap
}
