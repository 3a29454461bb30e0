package follow

import (
	"time"

	"github.com/sirupsen/logrus"

	"junctioncross/backend"
)

const (
	// maxFormer bounds the number of remembered servers without an entry; a large deployment has some hundred servers.
	maxFormer = 4096
	// restoredEntryHold is how long a server gets no new work after its removed entry was brought back by restoring the
	// store from a backup copy: the platform removes the entry again within a few seconds, unless the server is alive.
	restoredEntryHold = 4 * time.Second
)

// formerServer is a server that no longer has an entry.
type formerServer struct {
	server *backend.Server
	// entry is the last one that was known.
	entry backend.Entry
	// hasLeft is true when the entry vanished while the store was available, so that the server has left.
	hasLeft bool
}

// newServer returns the server that an entry describes. If the same incarnation had an entry before, the new server
// inherits what it announced then: an entry may expire in an outage of the store, which does not revoke a leave notice.
func (l *Loop) newServer(e backend.Entry) *backend.Server {
	s := backend.NewServer(e)
	name := s.Incarnation()
	f, known := l.former[name]
	if !known {
		return s
	}
	delete(l.former, name)
	s.Inherit(f.server)
	if f.isRestored(e) {
		s.SetAside(l.clock.Now().Add(restoredEntryHold))
		l.log.WithFields(logrus.Fields{"server": e.ID, "address": e.Addr}).Info("entry of a server that has left is there again")
	}
	return s
}

// isRestored reports whether e is the last entry of a server that has left, brought back when the store was restored
// from a backup copy.
func (f formerServer) isRestored(e backend.Entry) bool {
	now, then := Position(e.Revision), Position(f.entry.Revision)
	return f.hasLeft && now.Era() > then.Era() && now.Revision() == then.Revision() && e.Same(f.entry)
}

// rememberFormer keeps a removed server if it has left, or if it has announced something that still holds, such as a
// back-off. Servers without a start time are not kept: their incarnations cannot be distinguished, and the next one has
// announced nothing yet.
func (l *Loop) rememberFormer(tracked *trackedServer, hasLeft bool) {
	s := tracked.server
	if s.Incarnation().Born == 0 || !hasLeft && !s.HasNotices(l.clock.Now()) || len(l.former) >= maxFormer {
		return
	}
	l.former[s.Incarnation()] = formerServer{server: s, entry: tracked.entry, hasLeft: hasLeft}
}

// formerRetention is how long a server without an entry is remembered. Leases in the platform's store last for ten
// minutes at most, so that an entry does not come back after that.
const formerRetention = 10 * time.Minute

// forgetFormer forgets the servers that have been without an entry for longer than formerRetention.
func (l *Loop) forgetFormer(now time.Time) {
	for name, f := range l.former {
		if f.server.LeavingFor(now) > formerRetention {
			delete(l.former, name)
		}
	}
}
