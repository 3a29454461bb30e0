package forward

import (
	"slices"
	"sync"
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
)

// laneCache caches the lanes of one service's servers.
type laneCache struct {
	mu     sync.Mutex
	group  *backend.Group
	states []serverState
	// spare is the backing array for the states of the next call.
	spare []serverState
	lanes []chain.Lane
	// searchedAt is when the lanes were last searched.
	searchedAt time.Time
	// withoutLaneSince is when a call first found no lane; zero while there is one.
	withoutLaneSince time.Time
	// crossingSince is when a call first found only lanes that cross domains; zero while there is no lane at all.
	crossingSince time.Time
	// hadSettledLane is true once there has been a lane that is likely to stay.
	hadSettledLane bool
	// recovery caches when there is a lane again.
	recovery laneRecovery
}

// serverState is what the lanes depend on besides the group.
type serverState struct {
	usable bool
	pace   float64
}

// get returns the lanes of the servers that are usable now, and whether they differ from those of the last call.
func (b *laneCache) get(group *backend.Group, now time.Time) (lanes []chain.Lane, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	states := b.spare[:0]
	for _, s := range group.Servers() {
		states = append(states, serverState{usable: s.Usable(now), pace: s.Pace(now)})
	}
	if b.group == group && b.upToDateLocked(states, now) {
		b.spare = states
		return b.lanes, false
	}
	b.group, b.states, b.spare, b.searchedAt = group, states, b.states, now
	// The time at which there is a lane again depends on all servers, not only on those that are backed off.
	b.recovery = laneRecovery{}
	former := b.lanes
	b.lanes = usualLanes(group, func(i int) bool { return states[i].usable }, func(i int) float64 { return states[i].pace })
	return b.lanes, !slices.EqualFunc(former, b.lanes, sameLane)
}

// searchPeriodPerServer, multiplied by the number of servers, is how long lanes are kept although the paces of servers have changed. A
// search takes that many times longer in large fleets, where some pace changes all the time.
const searchPeriodPerServer = 300 * time.Microsecond

// upToDateLocked reports whether the lanes need no search: the states of the servers are those of the last search, or only paces
// differ and that search was a short time ago.
func (b *laneCache) upToDateLocked(states []serverState, now time.Time) bool {
	if now.Sub(b.searchedAt) >= time.Duration(len(states))*searchPeriodPerServer {
		return slices.Equal(states, b.states)
	}
	return slices.EqualFunc(states, b.states, func(x, y serverState) bool { return x.usable == y.usable })
}

// latest returns the lanes that the last call of get found, without a search.
func (b *laneCache) latest() []chain.Lane {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lanes
}

// usualLanes returns the lanes of a group for requests of usual length.
func usualLanes(group *backend.Group, usable func(int) bool, pace func(int) float64) []chain.Lane {
	engine := group.Graph().Engine()
	need := chain.Need{Prompt: engine.UsualPrompt, Tokens: engine.UsualPrompt + engine.UsualAnswer}
	return chain.Lanes(group.Graph(), usable, pace, need)
}

const (
	// maxPathOutage is how long a service may have no path before the instance reports that it is not ready; repairs and
	// loading the layers on spare servers take about that long.
	maxPathOutage = time.Second
	// settleTime is how long a first path that crosses domains must have existed before it counts. While domains lack layers,
	// the leader moves servers every 0.2 s, and an instance learns of that about 0.3 s later.
	settleTime = time.Second
	// firstPathTime is how long an instance that has started waits for a first path before it accepts callers without one.
	firstPathTime = 5 * time.Second
)

// ServiceWithoutPath returns the name of a service that callers should ask another instance for, or an empty string. That is a
// service for which this instance has had no settled path since its start, or has lost its path because it reaches no server in
// other domains.
func (h *Handler) ServiceWithoutPath() string {
	now := h.clock.Now()
	starting := now.Sub(h.watch.start) < firstPathTime
	for name, group := range h.fleetView.Current().Groups() {
		if group.Graph() == nil {
			continue
		}
		without, had := h.laneCacheOf(name).outage(group, now)
		if !had && starting || had && without >= maxPathOutage && h.partitioned(group, now) {
			return name
		}
	}
	return ""
}

// partitioned reports whether there are servers in other domains, but none of them is usable.
func (h *Handler) partitioned(group *backend.Group, now time.Time) bool {
	others := false
	for _, s := range group.Servers() {
		if s.Domain() == h.settings.Load().Domain || s.Leaving() {
			continue
		}
		// A server that is backed off has answered, so it can be reached.
		if s.Usable(now) || s.BackedOff(now) {
			return false
		}
		others = true
	}
	return others
}

// outage returns for how long there has been no lane, counted from the first call that found none, and whether there has ever
// been one that is likely to stay.
func (b *laneCache) outage(group *backend.Group, now time.Time) (without time.Duration, had bool) {
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

// settledLocked reports whether the lanes are likely to stay. Lanes that cross domains may not: servers are moved while their
// domain lacks layers.
func (b *laneCache) settledLocked(lanes []chain.Lane, now time.Time) bool {
	if slices.ContainsFunc(lanes, func(l chain.Lane) bool { return l.Crossings == 0 }) {
		return true
	}
	if b.crossingSince.IsZero() {
		b.crossingSince = now
	}
	return now.Sub(b.crossingSince) >= settleTime
}
