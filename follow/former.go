package follow

import (
	"time"

	"github.com/sirupsen/logrus"

	"junctioncross/backend"
)

const (
	// maxFormer bounds the servers without an entry of which something is remembered; a large deployment has some hundred servers.
	maxFormer = 4096
	// restoredEntryHold is how long a server gets no new work whose entry had gone and is there again since the store came back from a copy: the
	// platform removes it again within a few seconds, unless the server lives.
	restoredEntryHold = 4 * time.Second
)

// formerServer is a server without an entry.
type formerServer struct {
	server *backend.Server
	// entry is the last that was known.
	entry backend.Entry
	// hasLeft is true when the entry went while the store was there, so that the server has left.
	hasLeft bool
}

// newServer returns the server that an entry describes, with what the same start of it said before its entry was gone for a while. The
// entry of a server may lapse in an outage of the store, and what the server has said holds all the same.
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

// isRestored reports whether an entry is the last of a server that has left, brought back by the copy that the store came back from.
func (f formerServer) isRestored(e backend.Entry) bool {
	now, then := Position(e.Revision), Position(f.entry.Revision)
	return f.hasLeft && now.Era() > then.Era() && now.Revision() == then.Revision() && e.Same(f.entry)
}

// rememberFormer keeps a server that goes if it has said something which still holds, or if its entry went for good. Starts that cannot be told
// apart are forgotten: the next one has said nothing.
func (l *Loop) rememberFormer(k *trackedServer, hasLeft bool) {
	s := k.server
	if s.Incarnation().Born == 0 || !hasLeft && !s.Remembers(l.clock.Now()) || len(l.former) >= maxFormer {
		return
	}
	l.former[s.Incarnation()] = formerServer{server: s, entry: k.entry, hasLeft: hasLeft}
}

// formerRetention is how long a server without an entry is remembered: leases in the platform's store last for ten minutes at most, so that an entry
// which is away for longer does not come back.
const formerRetention = 10 * time.Minute

// forgetFormer drops the servers that have been without an entry for long.
func (l *Loop) forgetFormer(now time.Time) {
	for name, f := range l.former {
		if f.server.LeavingFor(now) > formerRetention {
			delete(l.former, name)
		}
	}
}
