package follow

import (
	"time"

	"github.com/sirupsen/logrus"

	"junctioncross/backend"
)

const (
	// mostFormer bounds the servers without an entry of which something is remembered; a large deployment has some hundred servers.
	mostFormer = 4096
	// leftoverTime is how long a server gets no new work whose entry had gone and is there again since the store came back from a copy: the
	// platform removes it again within a few seconds, unless the server lives.
	leftoverTime = 4 * time.Second
)

// former is a server without an entry.
type former struct {
	server *backend.Server
	// entry is the last that was known.
	entry backend.Entry
	// calm is true when the entry went while the store was there, so that the server has left.
	calm bool
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
	if f.leftover(e) {
		s.SetAside(l.clock.Now().Add(leftoverTime))
		l.log.WithFields(logrus.Fields{"server": e.ID, "address": e.Addr}).Info("entry of a server that has left is there again")
	}
	return s
}

// leftover reports whether an entry is the last of a server that has left, brought back by the copy that the store came back from.
func (f former) leftover(e backend.Entry) bool {
	now, then := Position(e.Revision), Position(f.entry.Revision)
	return f.calm && now.Era() > then.Era() && now.Revision() == then.Revision() && e.Same(f.entry)
}

// remember keeps a server that goes if it has said something which still holds, or if its entry went for good. Starts that cannot be told
// apart are forgotten: the next one has said nothing.
func (l *Loop) remember(k *known, calm bool) {
	s := k.server
	if s.Incarnation().Born == 0 || !calm && !s.Remembers(l.clock.Now()) || len(l.former) >= mostFormer {
		return
	}
	l.former[s.Incarnation()] = former{server: s, entry: k.entry, calm: calm}
}

// formerTime is how long a server without an entry is remembered: leases in the platform's store last for ten minutes at most, so that an entry
// which is away for longer does not come back.
const formerTime = 10 * time.Minute

// forget drops the servers that have been without an entry for long.
func (l *Loop) forget(now time.Time) {
	for name, f := range l.former {
		if f.server.LeavingFor(now) > formerTime {
			delete(l.former, name)
		}
	}
}
