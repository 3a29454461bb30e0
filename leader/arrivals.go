package leader

import "time"

const (
	// arrivalTime is how long after a server appeared others of its domain may still follow: the entries of a domain that was cut
	// off, or of servers that the store had lost, come back within a heartbeat of the platform, 1.2 s.
	arrivalTime = 1500 * time.Millisecond
	// arrivalsTime is the longest that servers are waited for.
	arrivalsTime = 4 * time.Second
	// together is the number of servers that must appear within arrivalTime to be taken for some of many; servers that replace
	// others one after the other are fewer, and a hole that they leave is not waited with.
	together = 3
	// cutOffShare is the part of a model's layers that a domain must lack for a single server to be taken for the first of many.
	cutOffShare = 0.5
)

// arrivals says since when servers have been appearing in a domain, and when the last ones did.
type arrivals struct {
	since time.Time
	// last holds the latest appearances, the newest first.
	last [together]time.Time
}

// next returns the arrivals with one more.
func (a arrivals) next(now time.Time) arrivals {
	if now.Sub(a.last[0]) >= arrivalTime {
		a.since = now
	}
	copy(a.last[1:], a.last[:])
	a.last[0] = now
	return a
}

// underWay reports whether more servers may be about to appear in a domain that lacks so large a part of a model, so that what
// seems to be missing is not worth a move.
func (a arrivals) underWay(now time.Time, missing float64) bool {
	if now.Sub(a.since) >= arrivalsTime {
		return false
	}
	if missing > cutOffShare {
		return now.Sub(a.last[0]) < arrivalTime
	}
	return now.Sub(a.last[together-1]) < arrivalTime
}
