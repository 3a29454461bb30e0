package forward

import (
	"math"
	"math/rand/v2"
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
)

const (
	// fullShare is the part of a lane's memory beyond which it gets no new streams. What is under way grows by about as much as
	// what ends gives back; a server that is full turns work away or preempts the newest stream.
	fullShare = 0.98
	// localWorth is how many times more a lane of the own domain is worth: one elsewhere is lost when a domain is cut off, and needs
	// a connection of its own that is rarely used again. A domain that is nearly full sends its streams elsewhere all the same.
	localWorth = 16.0
	// crossingLane is what a lane that crosses domains is worth: each crossing carries all activations.
	crossingLane = 0.02
	// mostAlike bounds the instances that are taken to have as much work on a server as this one while it has not told, as just
	// after a start.
	mostAlike = 6.0
	// mostAdding bounds those that are taken to have added as much as this one since a server last told: the last half second of
	// one says little of the others.
	mostAdding = 2.0
	// tooSlow is what a lane is worth on which an answer is not expected to end in time.
	tooSlow = 0.01
	// speedPower says how much faster lanes are preferred: a stream takes memory for as long as it lasts, so that the same memory
	// carries more streams on a fast lane.
	speedPower = 2.0
	// wordAge is how old a server's word on its work may be; after that only the own work counts.
	wordAge = 5 * time.Second
)

// laneChoice draws a lane for one request.
type laneChoice struct {
	lanes  []chain.Lane
	domain string
	// steps is the number of tokens that the answer may have and left the time for them; a lane that is too slow gets nothing while
	// another one is fast enough.
	steps int
	left  time.Duration
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
		if filled, known := fullest(group, l, instances, now); known {
			c.load[i] = max(own, filled)
			continue
		}
		if load, _ := group.Servers()[l.Hops[0].Server].Load(); !load.Known {
			own *= min(float64(instances), mostAlike)
		}
		c.load[i] = own
	}
	return c
}

// fullest returns the part of the memory that is taken on the fullest server of a lane; false means that none has told.
func fullest(group *backend.Group, l *chain.Lane, instances int, now time.Time) (float64, bool) {
	most, told := 0.0, false
	for _, hop := range l.Hops {
		filled, known := group.Servers()[hop.Server].Filled(now, wordAge, min(float64(instances), mostAdding))
		if known {
			most, told = max(most, filled), true
		}
	}
	return most, told
}

// pick returns the index of a lane that is drawn by what it is worth, or -1 when all are full. Instances that know the same
// spread their streams in that way without talking to each other.
func (c *laneChoice) pick() int {
	worth := make([]float64, len(c.lanes))
	total, fastest := 0.0, c.fastest()
	for i := range c.lanes {
		worth[i] = c.worth(i, fastest)
		if c.lanes[i].Step*time.Duration(c.steps) > c.left {
			worth[i] *= tooSlow
		}
		total += worth[i]
	}
	point, last := rand.Float64()*total, -1
	for i, w := range worth {
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

// worth weighs the room that a lane has left, its speed against the fastest one's and where it lies.
func (c *laneChoice) worth(i int, fastest time.Duration) float64 {
	l := &c.lanes[i]
	free := l.Sequences * (fullShare - c.load[i])
	if free <= 0 {
		return 0
	}
	w := free * math.Pow(float64(fastest)/float64(max(l.Step, 1)), speedPower)
	switch {
	case l.Crossings > 0:
		return w * crossingLane
	case l.Domain == c.domain:
		return w * localWorth
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
