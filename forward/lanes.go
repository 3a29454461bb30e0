package forward

import (
	"slices"
	"sync"
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
)

// laneBook keeps the lanes of one service's servers.
type laneBook struct {
	mu     sync.Mutex
	group  *backend.Group
	states []serverState
	// spare is memory for the next states.
	spare []serverState
	lanes []chain.Lane
	// withoutLaneSince is since when there has been no lane, as far as asked.
	withoutLaneSince time.Time
	// crossingSince is since when all lanes cross domains, while there has been no other; zero when there is none.
	crossingSince time.Time
	// hadSettledLane is true once there was a lane that is likely to stay.
	hadSettledLane bool
	// recovery is when there is a lane again, as last worked out.
	recovery laneRecovery
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
	b.group, b.states, b.spare = group, states, b.states
	// When there is a lane again depends on all servers, not only on those that want nothing.
	b.recovery = laneRecovery{}
	former := b.lanes
	b.lanes = usualLanes(group, func(i int) bool { return states[i].usable }, func(i int) float64 { return states[i].pace })
	return b.lanes, !slices.EqualFunc(former, b.lanes, sameLane)
}

// usualLanes returns the lanes of a group for requests of usual length.
func usualLanes(group *backend.Group, usable func(int) bool, pace func(int) float64) []chain.Lane {
	engine := group.Graph().Engine()
	need := chain.Need{Prompt: engine.UsualPrompt, Tokens: engine.UsualPrompt + engine.UsualAnswer}
	return chain.Lanes(group.Graph(), usable, pace, need)
}

const (
	// maxPathOutage is how long a service may lack a whole path before the instance asks for no more callers: repairs and
	// loads of spare servers take about as long.
	maxPathOutage = time.Second
	// settleTime is how long a first path that crosses domains must have stood: while domains lack layers the leader moves servers
	// every 0.2 s, and an instance hears of that some 0.3 s later.
	settleTime = time.Second
	// firstPathTime is how long an instance that has started waits for a first path before it takes callers without one.
	firstPathTime = 5 * time.Second
)

// Pathless returns the name of a service that callers had better ask for elsewhere, or an empty string: one for which the
// instance has had no settled path since its start, or has none because it reaches no server of any other domain.
func (h *Handler) Pathless() string {
	now := h.clock.Now()
	starting := now.Sub(h.watch.start) < firstPathTime
	for name, group := range h.board.Current().Groups() {
		if group.Graph() == nil {
			continue
		}
		without, had := h.laneBook(name).outage(group, now)
		if !had && starting || had && without >= maxPathOutage && h.partitioned(group, now) {
			return name
		}
	}
	return ""
}

// partitioned reports whether no server of another domain can be used, although there are some.
func (h *Handler) partitioned(group *backend.Group, now time.Time) bool {
	others := false
	for _, s := range group.Servers() {
		if s.Domain() == h.terms.Load().Domain || s.Leaving() {
			continue
		}
		// A server that wants nothing yet has answered.
		if s.Usable(now) || s.BackedOff(now) {
			return false
		}
		others = true
	}
	return others
}

// outage returns for how long there has been no lane, as far as asked, and whether there ever was one that is likely to stay.
func (b *laneBook) outage(group *backend.Group, now time.Time) (without time.Duration, had bool) {
	lanes, _ := b.get(group, now)
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(lanes) > 0 {
		b.withoutLaneSince, b.hadSettledLane = time.Time{}, b.hadSettledLane || b.settledLocked(lanes, now)
		return 0, b.hadSettledLane
	}
	b.crossingSince = time.Time{}
	if b.withoutLaneSince.IsZero() {
		b.withoutLaneSince = now
	}
	return now.Sub(b.withoutLaneSince), b.hadSettledLane
}

// settledLocked reports whether the first lanes are likely to stay: servers move while their domain lacks layers.
func (b *laneBook) settledLocked(lanes []chain.Lane, now time.Time) bool {
	if slices.ContainsFunc(lanes, func(l chain.Lane) bool { return l.Crossings == 0 }) {
		return true
	}
	if b.crossingSince.IsZero() {
		b.crossingSince = now
	}
	return now.Sub(b.crossingSince) >= settleTime
}
