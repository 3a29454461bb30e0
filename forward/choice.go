package forward

import (
	"math"
	"math/rand/v2"
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
)

const (
	// maxLaneLoad is the part of a lane's memory beyond which it gets no new streams. What is under way grows by about as much as
	// what ends gives back; a server that is full turns work away or preempts the newest stream.
	maxLaneLoad = 0.98
	// ownDomainWeight is how many times more a lane of the own domain is worth: one elsewhere is lost when a domain is cut off, and needs
	// a connection of its own that is rarely used again. A domain that is nearly full sends its streams elsewhere all the same.
	ownDomainWeight = 16.0
	// crossDomainWeight is what a lane that crosses domains is worth: each crossing carries all activations.
	crossDomainWeight = 0.02
	// maxEqualInstances bounds the instances that are taken to have as much work on a server as this one while it has not told, as just
	// after a start.
	maxEqualInstances = 6.0
	// maxAddingInstances bounds those that are taken to have added as much as this one since a server last told: the last half second of
	// one says little of the others.
	maxAddingInstances = 2.0
	// tooSlowWeight is what a lane is worth on which an answer is not expected to end in time.
	tooSlowWeight = 0.01
	// speedExponent says how much faster lanes are preferred: a stream takes memory for as long as it lasts, so that the same memory
	// carries more streams on a fast lane.
	speedExponent = 2.0
	// wordAge is how old a server's word on its work may be; after that only the own work counts.
	wordAge = 5 * time.Second
)

// laneChoice draws a lane for one request.
type laneChoice struct {
	lanes  []chain.Lane
	domain string
	// steps is the number of tokens that the answer may have and left the time for them; a lane that is too slow gets nothing while
	// another one is fast enough.
	steps    int
	timeLeft time.Duration
	// load holds the part of each lane's memory that is taken, as far as known.
	load []float64
}

// newLaneChoice returns a choice of so many instances that choose alike.
func newLaneChoice(group *backend.Group, lanes []chain.Lane, domain string, instances int, now time.Time) *laneChoice {
	c := &laneChoice{lanes: lanes, domain: domain, load: make([]float64, len(lanes))}
	width := map[int]float64{}
	for _, l := range lanes {
		width[l.Hops[0].Server] += l.Sequences
	}
	for i := range lanes {
		l := &lanes[i]
		if !group.Servers()[l.Hops[0].Server].WithinLimit(instances, now) {
			// Without a turn at its first server a lane is as good as full.
			c.load[i] = 1
			continue
		}
		own := group.Servers()[l.Hops[0].Server].Sequences(now, wordAge) / width[l.Hops[0].Server]
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

// highestFilled returns the part of the memory that is taken on the fullest server of a lane; false means that none has told.
func highestFilled(group *backend.Group, l *chain.Lane, instances int, now time.Time) (float64, bool) {
	highest, reported := 0.0, false
	for _, hop := range l.Hops {
		filled, known := group.Servers()[hop.Server].Filled(now, wordAge, min(float64(instances), maxAddingInstances))
		if known {
			highest, reported = max(highest, filled), true
		}
	}
	return highest, reported
}

// pick returns the index of a lane that is drawn by what it is worth, or -1 when all are full. Instances that know the same
// spread their streams in that way without talking to each other.
func (c *laneChoice) pick() int {
	weights := make([]float64, len(c.lanes))
	total, fastest := 0.0, c.fastest()
	for i := range c.lanes {
		weights[i] = c.weight(i, fastest)
		if c.lanes[i].Step*time.Duration(c.steps) > c.timeLeft {
			weights[i] *= tooSlowWeight
		}
		total += weights[i]
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

// weight weighs the room that a lane has left, its speed against the fastest one's and where it lies.
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

// fastest returns the least time between tokens of any lane.
func (c *laneChoice) fastest() time.Duration {
	least := time.Duration(math.MaxInt64)
	for i := range c.lanes {
		least = min(least, c.lanes[i].Step)
	}
	return least
}
