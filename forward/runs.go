package forward

import (
	"slices"

	"junctioncross/backend"
)

// ranOn notes that a server may have run the request.
func (r *request) ranOn(s *backend.Server) {
	r.runs++
	r.ran = append(r.ran, s)
}

// activeRuns returns the number of active runs: of the servers that may have run the request, those that have not terminated
// since. The route limits this number and not that of all runs, since a server that has terminated no longer works on the
// request. A server that ran the request twice counts once.
func (r *request) activeRuns() int { return len(activeServers(r.ran)) }

// activeServers returns the servers that have not terminated, each once.
func activeServers(ran []*backend.Server) []*backend.Server {
	var out []*backend.Server
	for _, s := range ran {
		if !s.Ended() && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}
