package follow

import (
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"junctioncross/backend"
	"junctioncross/catalog"
)

var (
	// errUnknownService means that an entry names a service that is not in the configuration.
	errUnknownService = errors.New("follow: no such service")
	// errFutureStart means that an entry tells a start that has not been yet.
	errFutureStart = errors.New("follow: start in the future")
)

// maxClockLead is how far the time of day of a server may be ahead of that of the instance.
const maxClockLead = 10 * time.Minute

// trackedServer is what is known of one server.
type trackedServer struct {
	server *backend.Server
	// entry is the newest usable one.
	entry backend.Entry
	// missingSince is when the server's entry vanished around an outage of the store; zero while there is an entry.
	missingSince time.Time
	// unusable is true while the server's entry describes no usable server.
	unusable bool
	// engine is that with most layers of those by which the server's layers were adopted; nil if there was none.
	engine *catalog.Engine
	// misfit is the last misfit that was logged since the server last fitted.
	misfit backend.Misfit
}

// applyEntry applies an entry of a server, unless it comes late, and reports whether it made a difference.
func (l *Loop) applyEntry(e backend.Entry) bool {
	if l.isFuture(e) {
		return l.markUnusable(EntryUnusable{ID: e.ID, Field: "born", Value: strconv.FormatInt(e.Born, 10), Err: errFutureStart})
	}
	tracked := l.servers[e.ID]
	if tracked == nil {
		return l.addServer(e)
	}
	tracked.missingSince = time.Time{}
	if e.Revision < tracked.entry.Revision || tracked.entry.Incarnation().After(e.Incarnation()) {
		// The entry comes late, or is one of an earlier incarnation.
		late, known := Position(e.Revision), Position(tracked.entry.Revision)
		l.log.WithFields(logrus.Fields{
			"server": e.ID, "revision": late.Revision(), "known": known.Revision(), "era": late.Era(), "known_era": known.Era(),
		}).Warn("late entry ignored")
		return false
	}
	if e.Service != tracked.entry.Service && !l.hasService(e.Service) {
		return l.markUnusable(EntryUnusable{ID: e.ID, Field: "service", Value: e.Service, Err: errUnknownService})
	}
	switch m, misfit := l.misfitOf(e); {
	case misfit && !tracked.entry.SameIncarnation(e) && !e.Incarnation().After(tracked.entry.Incarnation()):
		// It may be another writer's, so that the server need not have ended.
		return l.markMisfit(tracked, m)
	case e.Incarnation().After(tracked.entry.Incarnation()):
		l.noteRestart(tracked.server)
		return l.addServer(e)
	case !tracked.entry.SameIncarnation(e):
		l.retire(tracked)
		return l.addServer(e)
	default:
		return l.updateServer(tracked, e)
	}
}

// isFuture reports whether an entry tells a start that has not been yet: all that the server tells later would seem to be of an earlier one.
func (l *Loop) isFuture(e backend.Entry) bool {
	return e.Born > l.clock.Now().Add(maxClockLead).UnixMilli()
}

// addServer adds the server of the first entry of an incarnation.
func (l *Loop) addServer(e backend.Entry) bool {
	tracked := &trackedServer{server: l.newServer(e), entry: e}
	l.servers[e.ID] = tracked
	l.adoptLayers(tracked)
	tracked.server.NoteLayers(l.clock.Now())
	l.noteLeaving(tracked)
	if !l.terse {
		l.logServer(e, "server known")
	}
	return true
}

// updateServer applies a newer entry of a known incarnation.
func (l *Loop) updateServer(tracked *trackedServer, e backend.Entry) bool {
	old, wasUnusable := tracked.entry, tracked.unusable
	tracked.entry, tracked.unusable = e, false
	tracked.server.Describe(e)
	tracked.server.Announce(e)
	l.adoptLayers(tracked)
	if e.Layers != old.Layers {
		tracked.server.NoteLayers(l.clock.Now())
	}
	l.noteLeaving(tracked)
	if old.Same(e) && !wasUnusable {
		return false
	}
	if !l.terse {
		l.logServer(e, "server changed")
	}
	return true
}

// noteLeaving records when the instance first learned that a server is leaving.
func (l *Loop) noteLeaving(tracked *trackedServer) {
	if tracked.entry.Leaving {
		tracked.server.NoteLeaving(l.clock.Now())
	}
}

// logServer logs a message with what an entry says of its server.
func (l *Loop) logServer(e backend.Entry, message string) {
	l.log.WithFields(logrus.Fields{
		"server": e.ID, "address": e.Addr, "service": e.Service, "server_domain": e.Domain, "kind": e.Kind, "leaving": e.Leaving,
		"layers": e.Layers.String(), "revision": Position(e.Revision).Revision(), "era": Position(e.Revision).Era(),
	}).Info(message)
}

// hasService reports whether the configuration in force has a service.
func (l *Loop) hasService(service string) bool {
	return l.catalog != nil && l.catalog.Service(service) != nil
}

// noteRestart records that a server has restarted under its id: whatever ran on its former incarnation is lost.
func (l *Loop) noteRestart(s *backend.Server) {
	s.MarkReplaced()
	l.log.WithFields(logrus.Fields{"server": s.ID(), "address": s.Addr(), "born": s.Incarnation().Born}).Info("server started again")
}

// retire takes a server out of use whose id now stands for a server of which it is not known whether it is another one: whatever runs on the
// former goes on.
func (l *Loop) retire(tracked *trackedServer) {
	s := tracked.server
	s.NoteLeaving(l.clock.Now())
	s.MarkGone()
	l.rememberFormer(tracked, false)
	l.log.WithFields(logrus.Fields{"server": s.ID(), "address": s.Addr()}).Info("server gone")
}

// markUnusable takes a server out of use when its entry describes no usable server, until there is a usable entry. The
// requests that it runs go on.
func (l *Loop) markUnusable(c EntryUnusable) bool {
	l.countUnusable(c.Field)
	l.logUnusable(c)
	tracked := l.servers[c.ID]
	if tracked == nil || tracked.unusable {
		return false
	}
	tracked.unusable = true
	return true
}
