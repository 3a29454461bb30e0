package forward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
)

const (
	// localShare is the part of a domain's own lanes that is filled before requests cross to other domains.
	localShare = 0.85
	// fullShare is the part of a lane's memory that is used, counted in whole answers: on the mean, half of an answer has not
	// been written yet.
	fullShare = 1.05
	// wordAge is how old a server's word on its work may be; after that only the own work counts.
	wordAge = 5 * time.Second
)

// laneBook keeps the lanes of one service's servers.
type laneBook struct {
	mu     sync.Mutex
	group  *backend.Group
	states []serverState
	// spare is memory for the next states.
	spare []serverState
	lanes []chain.Lane
	// told is when the lanes were last written to the log.
	told time.Time
	// without is since when there has been no lane, as far as asked.
	without time.Time
	// had is true once there was a lane.
	had bool
}

// serverState is what the lanes depend on beside the group.
type serverState struct {
	usable bool
	pace   float64
}

// get returns the lanes of the servers that are usable now, and whether they differ from those of the last call.
func (b *laneBook) get(group *backend.Group, now time.Time) (lanes []chain.Lane, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	states := b.spare[:0]
	for _, s := range group.Servers() {
		states = append(states, serverState{usable: s.Usable(now), pace: s.Pace(now)})
	}
	if b.group == group && slices.Equal(states, b.states) {
		b.spare = states
		return b.lanes, false
	}
	engine := group.Graph().Engine()
	need := chain.Need{Prompt: engine.UsualPrompt, Tokens: engine.UsualPrompt + engine.UsualAnswer}
	b.group, b.states, b.spare = group, states, b.states
	former := b.lanes
	b.lanes = chain.Lanes(
		group.Graph(), func(i int) bool { return states[i].usable }, func(i int) float64 { return states[i].pace }, need,
	)
	return b.lanes, !slices.EqualFunc(former, b.lanes, sameLane)
}

// laneChoice draws lanes for one request.
type laneChoice struct {
	group  *backend.Group
	lanes  []chain.Lane
	domain string
	now    time.Time
	// load holds the part of each lane's memory that is taken, as far as known.
	load []float64
}

func newLaneChoice(group *backend.Group, lanes []chain.Lane, domain string, now time.Time) *laneChoice {
	c := &laneChoice{group: group, lanes: lanes, domain: domain, now: now, load: make([]float64, len(lanes))}
	width := map[int]float64{}
	for _, l := range lanes {
		width[l.Hops[0].Server] += l.Sequences
	}
	for i, l := range lanes {
		first := l.Hops[0].Server
		c.load[i] = group.Servers()[first].Sequences(now, wordAge) / width[first]
	}
	return c
}

// pick returns the index of a lane with room, or -1: one of the own domain while these are not nearly full, then one that
// lies within another domain, and only then one that crosses, since every crossing carries all activations.
func (c *laneChoice) pick() int {
	if i := c.draw(localShare, func(l *chain.Lane) bool { return l.Domain == c.domain }); i >= 0 {
		return i
	}
	if i := c.draw(fullShare, func(l *chain.Lane) bool { return l.Crossings == 0 }); i >= 0 {
		return i
	}
	return c.draw(fullShare, func(*chain.Lane) bool { return true })
}

// draw takes the less loaded of two lanes that are drawn by their width, among those below a load.
func (c *laneChoice) draw(below float64, allowed func(*chain.Lane) bool) int {
	total := 0.0
	for i := range c.lanes {
		if c.load[i] < below && allowed(&c.lanes[i]) {
			total += c.lanes[i].Sequences
		}
	}
	if total == 0 {
		return -1
	}
	a := c.at(rand.Float64()*total, below, allowed)
	b := c.at(rand.Float64()*total, below, allowed)
	if c.load[b] < c.load[a] {
		return b
	}
	return a
}

// at returns the lane at a point of the summed widths.
func (c *laneChoice) at(point, below float64, allowed func(*chain.Lane) bool) int {
	last := -1
	for i := range c.lanes {
		if c.load[i] >= below || !allowed(&c.lanes[i]) {
			continue
		}
		last = i
		if point -= c.lanes[i].Sequences; point < 0 {
			return i
		}
	}
	return last
}

const (
	// pathlessTime is how long a service may lack a whole path before the instance asks for no more callers: repairs and
	// loads of spare servers take about as long.
	pathlessTime = time.Second
	// firstPathTime is how long an instance that has started waits for a first path before it takes callers without one.
	firstPathTime = 5 * time.Second
)

// Pathless returns the name of a service that callers had better ask for elsewhere, or an empty string: one for which the
// instance has had no path since its start, or has none because it reaches no server of any other domain.
func (h *Handler) Pathless() string {
	now := h.clock.Now()
	starting := now.Sub(h.watch.start) < firstPathTime
	for name, group := range h.board.Current().Groups() {
		if group.Graph() == nil {
			continue
		}
		without, had := h.laneBook(name).pathless(group, now)
		if !had && starting || had && without >= pathlessTime && h.cutOff(group, now) {
			return name
		}
	}
	return ""
}

// cutOff reports whether no server of another domain can be used, although there are some.
func (h *Handler) cutOff(group *backend.Group, now time.Time) bool {
	others := false
	for _, s := range group.Servers() {
		if s.Domain() == h.terms.Load().Domain || s.Leaving() {
			continue
		}
		if s.Usable(now) {
			return false
		}
		others = true
	}
	return others
}

// pathless returns for how long there has been no lane, as far as asked, and whether there ever was one.
func (b *laneBook) pathless(group *backend.Group, now time.Time) (without time.Duration, had bool) {
	lanes, _ := b.get(group, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(lanes) > 0 {
		b.without, b.had = time.Time{}, true
		return 0, true
	}
	if b.without.IsZero() {
		b.without = now
	}
	return now.Sub(b.without), b.had
}
