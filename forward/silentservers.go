package forward

import (
	"sync"
	"time"

	"junctioncross/backend"
	"junctioncross/decision"
)

const (
	// reasonSilent is the reason of the queries to servers that have not answered.
	reasonSilent = "silent"
	// silentQueryTime, multiplied by the number of instances, is how often an instance queries a silent server, so that all of them
	// together do not query it more often the more they are; minSilentQueryPeriod is the lower bound of that.
	silentQueryTime      = 25 * time.Millisecond
	minSilentQueryPeriod = 240 * time.Millisecond
	// maxSilentQueryPeriod is the upper bound while instances share no reports, from which they hear of the answers that others get.
	maxSilentQueryPeriod = time.Second
)

// silentServers holds the servers that have left a state query unanswered and have not answered since. They are queried again and again,
// so that a server gets work as soon as it answers. It is safe for concurrent use.
type silentServers struct {
	mu      sync.Mutex
	servers map[*backend.Server]struct{}
}

func newSilentServers() *silentServers {
	return &silentServers{servers: map[*backend.Server]struct{}{}}
}

func (s *silentServers) add(server *backend.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[server] = struct{}{}
}

// due returns the servers to be queried now, each at the given period, and forgets those that have answered, have terminated or get no
// new work in any case.
func (s *silentServers) due(period time.Duration, now time.Time) []*backend.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*backend.Server
	for server := range s.servers {
		switch {
		case !server.IsSilent() || server.Ended() || server.Leaving():
			delete(s.servers, server)
		case silentQueryDue(server, period, now):
			out = append(out, server)
		}
	}
	return out
}

// silentQueryDue reports whether a silent server is to be queried again: after the period, or once it has answered another instance.
func silentQueryDue(server *backend.Server, period time.Duration, now time.Time) bool {
	if server.PresumedEnded() {
		period = max(period, maxSilentQueryPeriod)
	}
	state := server.QueryState()
	return now.Sub(state.QueriedAt) >= period || !state.Silent && state.ReportedAt.After(state.QueriedAt)
}

// silentQueryPeriod returns how often one of a number of instances queries a silent server.
func silentQueryPeriod(instances int, shared bool) time.Duration {
	period := max(time.Duration(instances)*silentQueryTime, minSilentQueryPeriod)
	if !shared {
		return min(period, maxSilentQueryPeriod)
	}
	return period
}

// querySilentServers queries the silent servers that are due.
func (h *Handler) querySilentServers(now time.Time) {
	period := silentQueryPeriod(h.instances.Instances(), h.fleetView.ReportsShared(now))
	for _, server := range h.silent.due(period, now) {
		h.queryState(server, reasonSilent)
	}
}

// noteAnswer records that a server has answered a state query that was sent at the given time, and logs the end of a silence.
func (h *Handler) noteAnswer(server *backend.Server, sentAt, now time.Time) {
	if silent := server.SilentFor(); server.IsSilent() {
		h.stats.Counter("server_silences_total").Inc(1)
		h.record.Failure("", "server answers again", decision.Fields{
			"server": server.ID(), "address": server.Addr(), "silent_ms": silent.Milliseconds(),
		})
	}
	server.NoteAnswer(sentAt, now)
}
