package leader

import "time"

const (
	// arrivalTime is how long after a server appeared others of its domain may still follow: the entries of a domain that was cut
	// off, or of servers that the store had lost, come back within a heartbeat of the platform, 1.2 s.
	arrivalTime = 1500 * time.Millisecond
	// arrivalsTime is the longest that servers are waited for.
	arrivalsTime = 4 * time.Second
)

// arrivals says since when servers have been appearing in a domain, and when the last one did.
type arrivals struct {
	since time.Time
	last  time.Time
}

// next returns the arrivals with one more.
func (a arrivals) next(now time.Time) arrivals {
	if now.Sub(a.last) >= arrivalTime {
		a.since = now
	}
	a.last = now
	return a
}

// underWay reports whether more servers may be about to appear, so that what seems to be missing is not worth a move.
func (a arrivals) underWay(now time.Time) bool {
	return now.Sub(a.last) < arrivalTime && now.Sub(a.since) < arrivalsTime
}
