package forward

import (
	"math"
	"math/rand/v2"
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
)

const (
	// maxLaneLoad is the used share of a lane's memory above which it gets no new streams. Running streams grow by about as
	// much as ending streams free; a server whose memory is full refuses work or preempts its newest stream.
	maxLaneLoad = 0.98
	// ownDomainWeight multiplies the weight of lanes in the own domain. A lane elsewhere is lost when a domain is partitioned,
	// and it needs a connection of its own that is rarely reused. A domain that is nearly full sends its streams to other
	// domains all the same.
	ownDomainWeight = 16.0
	// crossDomainWeight multiplies the weight of a lane that crosses domains, since each crossing carries all activations.
	crossDomainWeight = 0.02
	// maxEqualInstances limits how many instances are assumed to have as much work on a server as this one, while the server
	// has not reported its load, as just after a start.
	maxEqualInstances = 6.0
	// maxAddingInstances limits how many instances are assumed to have added as much work as this one since a server's last
	// report: what one instance did in the last half second says little about the others.
	maxAddingInstances = 2.0
	// tooSlowWeight multiplies the weight of a lane on which the answer is not expected to end in time.
	tooSlowWeight = 0.01
	// speedExponent is the power of the relative speed by which fast lanes are preferred. A stream holds memory for as long as
	// it lasts, so the same memory carries more streams on a fast lane.
	speedExponent = 2.0
	// maxReportAge is the greatest age at which a server's report on its load is used; after that only this instance's own streams
	// count.
	maxReportAge = 5 * time.Second
)

// laneChoice draws a lane for one request at random, by weight.
type laneChoice struct {
	lanes  []chain.Lane
	domain string
	// steps is the expected length of the answer in tokens, with slack, and timeLeft the time left for it. A lane that is too
	// slow for that gets almost no streams while another one is fast enough.
	steps    int
	timeLeft time.Duration
	// load is the used share of each lane's memory, as far as known.
	load []float64
	// avoid is what the request is to avoid after rejections.
	avoid avoidance
	// starts limits where a path may start.
	starts starts
}

// newLaneChoice returns a choice for one of the given number of instances, which all choose in the same way.
func newLaneChoice(group *backend.Group, lanes []chain.Lane, domain string, instances int, now time.Time) *laneChoice {
	c := &laneChoice{lanes: lanes, domain: domain, load: make([]float64, len(lanes))}
	width := map[int]float64{}
	for _, l := range lanes {
		width[l.Hops[0].Server] += l.Sequences
	}
	for i := range lanes {
		l := &lanes[i]
		if !group.Servers()[l.Hops[0].Server].WithinLimit(instances, now) {
			// While the rate limit of its first server allows no request, a lane counts as full.
			c.load[i] = 1
			continue
		}
		own := group.Servers()[l.Hops[0].Server].Sequences(now, maxReportAge) / width[l.Hops[0].Server]
		if filled, known := highestFilled(group, l, instances, now); known {
			c.load[i] = max(own, filled)
			continue
		}
		if load, _ := group.Servers()[l.Hops[0].Server].Load(); !load.Known {
			own *= min(float64(instances), maxEqualInstances)
		}
		c.load[i] = own
	}
	return c
}

// highestFilled returns the used share of memory of the fullest server of a lane; false means that no server has reported.
func highestFilled(group *backend.Group, l *chain.Lane, instances int, now time.Time) (float64, bool) {
	highest, reported := 0.0, false
	for _, hop := range l.Hops {
		filled, known := group.Servers()[hop.Server].Filled(now, maxReportAge, min(float64(instances), maxAddingInstances))
		if known {
			highest, reported = max(highest, filled), true
		}
	}
	return highest, reported
}

// pick returns the index of a lane drawn at random by weight, or -1 when all lanes are full. Because of the random draw,
// instances with the same information spread their streams without talking to each other.
func (c *laneChoice) pick() int {
	weights := make([]float64, len(c.lanes))
	total, fastest := 0.0, c.fastest()
	for i := range c.lanes {
		weights[i] = c.weight(i, fastest)
		if c.tooSlow(i) {
			weights[i] *= tooSlowWeight
		}
	}
	keepOnly(weights, func(i int) bool { return c.starts.allow(c.lanes[i].Hops[0].Server) })
	c.avoid.narrow(c.lanes, weights, c.tooSlow)
	for _, w := range weights {
		total += w
	}
	point, last := rand.Float64()*total, -1
	for i, w := range weights {
		if w == 0 {
			continue
		}
		last = i
		if point -= w; point < 0 {
			break
		}
	}
	return last
}

// tooSlow reports whether the answer is not expected to end in time on a lane.
func (c *laneChoice) tooSlow(i int) bool { return c.lanes[i].Step*time.Duration(c.steps) > c.timeLeft }

// weight returns the weight of a lane: its free memory, times its speed relative to the fastest lane, times a factor for its
// domain.
func (c *laneChoice) weight(i int, fastest time.Duration) float64 {
	l := &c.lanes[i]
	free := l.Sequences * (maxLaneLoad - c.load[i])
	if free <= 0 {
		return 0
	}
	w := free * math.Pow(float64(fastest)/float64(max(l.Step, 1)), speedExponent)
	switch {
	case l.Crossings > 0:
		return w * crossDomainWeight
	case l.Domain == c.domain:
		return w * ownDomainWeight
	default:
		return w
	}
}

// fastest returns the shortest time between tokens among all lanes.
func (c *laneChoice) fastest() time.Duration {
	least := time.Duration(math.MaxInt64)
	for i := range c.lanes {
		least = min(least, c.lanes[i].Step)
	}
	return least
}
