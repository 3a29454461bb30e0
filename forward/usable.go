package forward

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"junctioncross/backend"
)

// usableIn returns how long it takes until the service can run requests again, if only back-off or rate limits of servers keep
// it from running them now. False means that it can run requests now, or that there is another reason.
func (h *Handler) usableIn(group *backend.Group, now time.Time) (time.Duration, bool) {
	var at time.Time
	var known bool
	if group.Graph() == nil {
		at, known = firstUsableAt(group.Servers(), h.instances.Instances(), now)
	} else {
		at, known = h.laneCacheOf(group.Service().Name).nextLaneAt(group, now)
	}
	if !known {
		return 0, false
	}
	return at.Sub(now), true
}

// firstUsableAt returns when the first of the servers becomes usable; false means that one is usable now, or that no server
// names a time.
func firstUsableAt(servers []*backend.Server, instances int, now time.Time) (time.Time, bool) {
	var first time.Time
	for _, s := range servers {
		if s.Usable(now) && s.WithinLimit(instances, now) {
			return time.Time{}, false
		}
		if at, ok := s.AvailableAt(instances, now); ok && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}

// backedOffServer is a server that accepts no new requests before a given time.
type backedOffServer struct {
	server int
	at     time.Time
}

// laneRecovery is when a service without a lane has one again, and the backed-off servers from which this was computed.
type laneRecovery struct {
	from  []backedOffServer
	at    time.Time
	known bool
}

// nextLaneAt returns when there is a lane again, if only backed-off servers are missing for one. False means that there is a
// lane now, or that other servers are missing too. The result is cached, since waiting requests ask for it again and again.
func (b *laneCache) nextLaneAt(group *backend.Group, now time.Time) (time.Time, bool) {
	lanes, _ := b.get(group, now)
	if len(lanes) > 0 {
		return time.Time{}, false
	}
	var from []backedOffServer
	for i, s := range group.Servers() {
		if at, ok := s.BackOffEnd(now); ok {
			from = append(from, backedOffServer{server: i, at: at})
		}
	}
	if len(from) == 0 {
		return time.Time{}, false
	}
	slices.SortFunc(from, func(x, y backedOffServer) int { return cmp.Or(x.at.Compare(y.at), x.server-y.server) })
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.Equal(from, b.recovery.from) {
		b.recovery = laneRecovery{from: from}
		b.recovery.at, b.recovery.known = firstLaneAt(group, from, now)
	}
	return b.recovery.at, b.recovery.known
}

// firstLaneAt returns when there is a lane again as the back-off of one server after the other ends; false means that there is
// none even with all of them.
func firstLaneAt(group *backend.Group, from []backedOffServer, now time.Time) (time.Time, bool) {
	servers := group.Servers()
	// Additional servers never reduce the lanes from some to none, so a binary search is correct.
	last := sort.Search(len(from), func(last int) bool {
		back := make([]bool, len(servers))
		for _, one := range from[:last+1] {
			back[one.server] = true
		}
		lanes := usualLanes(
			group, func(i int) bool { return back[i] || servers[i].Usable(now) }, func(i int) float64 { return servers[i].Pace(now) },
		)
		return len(lanes) > 0
	})
	if last == len(from) {
		return time.Time{}, false
	}
	return from[last].at, true
}

// withRetryJitter adds a random part to the time after which a caller may come back, so that callers do not all come back at
// once.
func withRetryJitter(after time.Duration) time.Duration {
	return after + time.Duration(rand.Float64()*retryJitter*float64(after))
}
