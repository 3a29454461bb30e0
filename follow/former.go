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

// newServer returns the server that an entry describes. If the same incarnation had an entry before, that is the server of then, so that
// requests which it may have run know it again: an entry may expire while its server works, which does not revoke a leave notice.
func (l *Loop) newServer(e backend.Entry) *backend.Server {
	f, known := l.former[e.Incarnation()]
	if !known {
		return backend.NewServer(e)
	}
	delete(l.former, e.Incarnation())
	s := f.again(e)
	if f.isRestored(e) {
		s.SetAside(l.clock.Now().Add(restoredEntryHold))
		l.log.WithFields(logrus.Fields{"server": e.ID, "address": e.Addr}).Info("entry of a server that has left is there again")
	}
	return s
}

// again returns the former server, which has an entry again, or a new one that inherits from it if it cannot be the same.
func (f formerServer) again(e backend.Entry) *backend.Server {
	if !f.entry.SameIncarnation(e) || f.server.Context().Err() != nil {
		s := backend.NewServer(e)
		s.Inherit(f.server)
		return s
	}
	f.server.Return(e)
	return f.server
}

// isRestored reports whether e is the last entry of a server that has left, brought back when the store was restored
// from a backup copy.
func (f formerServer) isRestored(e backend.Entry) bool {
	now, then := Position(e.Revision), Position(f.entry.Revision)
	return f.hasLeft && now.Era() > then.Era() && now.Revision() == then.Revision() && e.Same(f.entry)
}

// rememberFormer keeps a removed server. One without a start time that has announced something is not kept: its incarnations cannot be
// distinguished, and the next one has announced nothing yet.
func (l *Loop) rememberFormer(tracked *trackedServer, hasLeft bool) {
	s := tracked.server
	if s.Incarnation().Born == 0 && s.HasNotices(l.clock.Now()) || len(l.former) >= maxFormer {
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
