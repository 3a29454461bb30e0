package follow

import (
	"time"

	"junctioncross/backend"
)

// mostFormer bounds the servers without an entry of which something is remembered; a large deployment has some hundred servers.
const mostFormer = 4096

// newServer returns the server that an entry describes, with what the same start of it said before its entry was gone for a while. The
// entry of a server may lapse in an outage of the store, and what the server has said holds all the same.
func (l *Loop) newServer(e backend.Entry) *backend.Server {
	s := backend.NewServer(e)
	name := s.Incarnation()
	if former := l.former[name]; former != nil {
		s.Inherit(former)
		delete(l.former, name)
	}
	return s
}

// remember keeps a server that goes if it has said something which still holds. Starts that cannot be told apart are forgotten: the next one
// has said nothing.
func (l *Loop) remember(s *backend.Server) {
	if s.Incarnation().Born == 0 || !s.Remembers(l.clock.Now()) || len(l.former) >= mostFormer {
		return
	}
	l.former[s.Incarnation()] = s
}

// formerTime is how long a server without an entry is remembered: leases in the platform's store last for ten minutes at most, so that an entry
// which is away for longer does not come back.
const formerTime = 10 * time.Minute

// forget drops the servers that have been without an entry for long.
func (l *Loop) forget(now time.Time) {
	for name, s := range l.former {
		if s.LeavingFor(now) > formerTime {
			delete(l.former, name)
		}
	}
}
