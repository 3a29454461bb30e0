package forward

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/models"
)

const (
	// secondQueryDelay is how long after the first query a server is queried again, on another connection, so that one lost
	// packet does not make a healthy server look dead.
	secondQueryDelay = 25 * time.Millisecond
	// queriesTimeout limits both queries together: many times what an answer takes within one building.
	queriesTimeout = 75 * time.Millisecond
)

// errBothUnanswered means that a server has answered neither of two queries. There was hardly time to see whether connections come up.
var errBothUnanswered = errors.Wrap(backend.ErrNoAnswer, "queried twice")

// findings is the result of a diagnosis: what some servers answered.
type findings struct {
	now  time.Time
	mu   sync.Mutex
	dead map[*backend.Server]bool
	// holds has the layers of the servers that answered.
	holds map[*backend.Server]models.Layers
}

// queryServers queries servers, all at once. Dead are those that refuse the connection, do not answer two queries or have left the
// latest one unanswered, or are named by the first server of the path as the one that it waits for. Servers of which enough is known
// are not queried. While instances
// share reports, a quota limits the queries: the first server comes before others, then those of which nothing was heard for longest.
func (w *watcher) queryServers(
	ctx context.Context, first *backend.Server, group *backend.Group, servers map[*backend.Server]suspicion,
) *findings {
	found := &findings{
		now: w.handler.clock.Now(), dead: map[*backend.Server]bool{}, holds: map[*backend.Server]models.Layers{},
	}
	var all sync.WaitGroup
	for _, s := range queryOrder(first, servers) {
		why := servers[s]
		saving := w.decideQuery(s, why, s == first, found.now)
		if saving == queryNow && !w.withinQuota(group, found.now) {
			saving = savedQuota
		}
		if saving == queryNow {
			s.NoteQuery(found.now)
			all.Go(func() { w.handler.guarded(s, func() { w.queryOne(ctx, found, s, group, why, s == first) }) })
			continue
		}
		w.handler.countSaved(saving)
		if saving == savedEnded || saving == savedQueried && s.IsSilent() {
			found.addDead(s)
		}
	}
	all.Wait()
	return found
}

// queryOrder returns the servers in the order in which they are queried while there are not enough queries for all.
func queryOrder(first *backend.Server, servers map[*backend.Server]suspicion) []*backend.Server {
	reported := make(map[*backend.Server]time.Time, len(servers))
	for s := range servers {
		reported[s] = s.QueryState().ReportedAt
	}
	return slices.SortedFunc(maps.Keys(servers), func(a, b *backend.Server) int {
		switch {
		case a == b:
			return 0
		case a == first:
			return -1
		case b == first:
			return 1
		default:
			return reported[a].Compare(reported[b])
		}
	})
}

// withinQuota takes a query out of the quota, which holds while instances share reports.
func (w *watcher) withinQuota(group *backend.Group, now time.Time) bool {
	h := w.handler
	return !h.fleetView.ReportsShared(now) || w.quota.take(len(group.Servers()), h.instances.Instances(), now)
}

// decideQuery returns whether a server has to be queried. While instances share no reports, the first server always is and the
// others as often as any reason allows.
func (w *watcher) decideQuery(s *backend.Server, why suspicion, first bool, now time.Time) querySaving {
	switch {
	case w.handler.fleetView.ReportsShared(now):
		return w.plan.decide(s, why, w.handler.reportLag(s), now)
	case first || s.MayQuery(now):
		return queryNow
	default:
		return savedQueried
	}
}

func (w *watcher) queryOne(
	ctx context.Context, found *findings, s *backend.Server, group *backend.Group, why suspicion, first bool,
) {
	h := w.handler
	q := stateQuery{server: s, sentAt: h.clock.Now(), timeout: queriesTimeout, why: "slow stream"}
	report, err := w.queryTwice(ctx, s)
	if errors.Is(err, errQueryPanicked) {
		return
	}
	if !h.applyAnswer(q, report, err) || errors.Is(err, backend.ErrGarbled) {
		return
	}
	if err != nil || s.Ended() {
		found.addDead(s)
		return
	}
	if h.fleetView.ReportsShared(found.now) {
		w.plan.noteWell(s, why, found.now)
	}
	if h.reportsNewerLayers(s) {
		found.mu.Lock()
		found.holds[s] = report.Layers
		found.mu.Unlock()
	}
	if first {
		w.suspectAwaited(found, report, s, group)
	}
}

// suspectAwaited suspects the servers that the first server of some streams waits for. A report describes the past: a server whose
// silence has ended since was waited for during that.
func (w *watcher) suspectAwaited(found *findings, report backend.Report, first *backend.Server, group *backend.Group) {
	h := w.handler
	described := found.now.Add(-max(h.reportLag(first), minReportLag))
	for _, suspect := range report.Stalled {
		server := group.ByAddr(suspect.Addr)
		if server == nil || suspect.ID != "" && suspect.ID != server.ID() || server.AnsweredAgainSince(described) {
			continue
		}
		server.Suspect(h.clock.Now().Add(suspectTime))
		found.addDead(server)
	}
}

// queryResult is the result of one query.
type queryResult struct {
	report backend.Report
	err    error
}

// errQueryPanicked means that this instance panicked over a query, which says nothing about the server.
var errQueryPanicked = errors.New("forward: panic over a query")

// queryTwice queries a server, a second time if the first query is not answered soon, and returns the first answer.
func (w *watcher) queryTwice(ctx context.Context, s *backend.Server) (backend.Report, error) {
	h := w.handler
	ctx, cancel := context.WithTimeout(ctx, h.clock.Patience(queriesTimeout))
	defer cancel()
	// A call may outlast its context while it opens a connection; its answer is not waited for then.
	answers := make(chan queryResult, 2)
	query := func() {
		answer := queryResult{err: errQueryPanicked}
		h.guarded(s, func() {
			h.stats.Counter("inquiries_total{reason=\"slow stream\"}").Inc(1)
			answer.report, answer.err = h.engines.Report(ctx, s.Addr())
		})
		answers <- answer
	}
	go query()
	select {
	case a := <-answers:
		return a.report, a.err
	case <-h.clock.After(h.clock.Patience(secondQueryDelay)):
	}
	go query()
	for range 2 {
		select {
		case a := <-answers:
			if a.err == nil || errors.Is(a.err, backend.ErrNotListening) || errors.Is(a.err, errQueryPanicked) {
				return a.report, a.err
			}
		case <-ctx.Done():
			return backend.Report{}, errBothUnanswered
		}
	}
	return backend.Report{}, errBothUnanswered
}

func (f *findings) addDead(s *backend.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead[s] = true
}

// deadServers returns the dead servers.
func (f *findings) deadServers() []*backend.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.dead))
}

// broken reports whether a path passes, behind its first server, a server that is dead or no longer holds its layers. A
// repair cannot replace the first server; a stream whose first server is dead is cut instead.
func (f *findings) broken(one *inflight) bool {
	c := one.path()
	for i, s := range c.servers {
		if i > 0 && f.lacks(s, c.hops[i].Layers) {
			return true
		}
	}
	return false
}

// lacks reports whether a server is dead or does not hold some layers.
func (f *findings) lacks(s *backend.Server, layers models.Layers) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	held, known := f.holds[s]
	if !known {
		// The entry may be older than a report, but it is newer than the choice of a path.
		held = s.Layers()
	}
	return f.dead[s] || s.Suspected(f.now) || !held.Holds(layers)
}
