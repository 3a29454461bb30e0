package overload

import (
	"time"
)

const (
	// minShare is the least share of new connections that are taken, so that the share can be found again and no caller meets an instance
	// that calls itself ready and takes nothing.
	minShare = 0.02
	// longestGap is how long the gate takes no connection at most.
	longestGap = 500 * time.Millisecond
	// growth and cut are by how much the share follows one measurement that shows room, or too much work, and leastStep the least growth.
	growth    = 0.25
	cut       = 0.3
	leastStep = 0.01
)

// gate takes a share of the new connections, evenly. It is not safe for concurrent use.
type gate struct {
	share float64
	// credit is the part of a connection that may be taken beyond those that were.
	credit float64
	// takenAt is when a connection was last taken.
	takenAt time.Time
}

func newGate() gate { return gate{share: 1} }

// adjust changes the share after a measurement: pressure is the use of the scarcest resource, as a part of what may be used.
func (g *gate) adjust(pressure float64) {
	if pressure > 1 {
		g.share = max(g.share*(1-cut*(1-1/pressure)), minShare)
		return
	}
	g.share = min(g.share+max(growth*(1-pressure)*g.share, leastStep), 1)
}

// take reports whether a new connection is to be taken.
func (g *gate) take(now time.Time) bool {
	g.credit = min(g.credit+g.share, 1)
	if g.credit < 1 && now.Sub(g.takenAt) < longestGap {
		return false
	}
	g.credit = max(g.credit-1, 0)
	g.takenAt = now
	return true
}
