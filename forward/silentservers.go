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
	// together do not query it more often the more they are; between the two bounds.
	silentQueryTime      = 30 * time.Millisecond
	minSilentQueryPeriod = 240 * time.Millisecond
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

// due returns the servers to be queried now by one of a number of instances, and forgets those that have answered, have terminated or
// get no new work in any case.
func (s *silentServers) due(instances int, now time.Time) []*backend.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*backend.Server
	for server := range s.servers {
		switch {
		case !server.IsSilent() || server.Ended() || server.Leaving():
			delete(s.servers, server)
		case silentQueryDue(server, instances, now):
			out = append(out, server)
		}
	}
	return out
}

// silentQueryDue reports whether a silent server is to be queried again: after a time, or once it has answered another instance.
func silentQueryDue(server *backend.Server, instances int, now time.Time) bool {
	period := min(max(time.Duration(instances)*silentQueryTime, minSilentQueryPeriod), maxSilentQueryPeriod)
	if server.PresumedEnded() {
		period = maxSilentQueryPeriod
	}
	state := server.QueryState()
	return now.Sub(state.QueriedAt) >= period || !state.Silent && state.ReportedAt.After(state.QueriedAt)
}

// querySilentServers queries the silent servers that are due.
func (h *Handler) querySilentServers(now time.Time) {
	for _, server := range h.silent.due(h.instances.Instances(), now) {
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
