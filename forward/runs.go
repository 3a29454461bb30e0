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

// standing returns how many of the servers that may have run the request have not ended since: the number of servers that may run
// one request bounds what is at work on it, and a server that has ended is not. One that ran it twice counts once.
func (r *request) standing() int { return len(activeServers(r.ran)) }

// activeServers returns those of some servers that have not ended, each once.
func activeServers(ran []*backend.Server) []*backend.Server {
	var out []*backend.Server
	for _, s := range ran {
		if !s.Ended() && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}
