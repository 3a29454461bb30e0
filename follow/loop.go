package follow

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/metrics"
	"junctioncross/quarantine"
	"junctioncross/timer"
)

const (
	// houseKeeping is the period of the work that follows no message.
	houseKeeping = 250 * time.Millisecond
	// heardQueue holds messages while the control goroutine is busy.
	heardQueue = 16
	// mostLogged is the number of entries that come together up to which each has its line: each of hundreds of instances would write thousands
	// at a start and while all servers load.
	mostLogged = 100
)

// errNoService means that an entry names a service that the configuration does not.
var errNoService = errors.New("follow: no such service")

// Loop owns the control state of an instance.
type Loop struct {
	board *Board
	ends  *quarantine.Book
	clock *timer.Service
	stats *metrics.Registry
	log   *logrus.Logger
	heard chan Heard

	catalog *catalog.Catalog
	// servers holds what is known of each server by its id.
	servers map[string]*known
	// former holds servers without an entry, should their entries come back.
	former map[backend.Incarnation]former
	// lost says which feeds fail at present.
	lost [feeds]bool
	// outdated is true while the store holds an older configuration than the one in force.
	outdated bool
	// at is how far each feed is known.
	at [feeds]Position
	// failed is when a call last failed.
	failed time.Time
	// terse is true while many entries are taken over, which have one line together.
	terse bool
}

// known is what is known of one server.
type known struct {
	server *backend.Server
	// entry is the newest one that can be used.
	entry backend.Entry
	// missing is when the server was first missed, if its entry has vanished around an outage.
	missing time.Time
	// unusable is true while the server's entry names none to use.
	unusable bool
}

// New returns a Loop and starts it; it stops when ctx ends.
func New(
	ctx context.Context, source Source, board *Board, ends *quarantine.Book, clock *timer.Service, stats *metrics.Registry,
	log *logrus.Logger,
) *Loop {
	l := &Loop{
		board: board, ends: ends, clock: clock, stats: stats, log: log, heard: make(chan Heard, heardQueue),
		servers: map[string]*known{}, former: map[backend.Incarnation]former{},
	}
	for _, feed := range []Feed{FeedConfig, FeedServers, FeedQuarantine} {
		p := &pump{source: source, clock: clock, feed: feed, out: l.heard}
		go func() { p.run(ctx) }()
	}
	ticks := clock.Subscribe(houseKeeping)
	go func() {
		defer ticks.Stop()
		for {
			select {
			case h := <-l.heard:
				l.take(h)
			case <-ticks.C():
				l.tidy()
			case <-ctx.Done():
				return
			}
		}
	}()
	return l
}

func (l *Loop) take(h Heard) {
	switch h := h.(type) {
	case heardAll:
		l.regained(h.feed)
		lost := l.noteEra(h.feed, h.At)
		dropped := h.feed == FeedServers && l.dropUnlisted(h.Changes)
		l.show(l.apply(h.Changes) || dropped)
		if h.feed == FeedQuarantine && !lost {
			l.dropUnlistedEnds(h.Changes)
		}
		l.doubt()
		l.confirm(h.feed, h.Known)
	case heardChanges:
		l.regained(h.feed)
		if l.noteEra(h.feed, h.At) && h.feed == FeedQuarantine {
			h.Changes = slices.DeleteFunc(h.Changes, isEndGone)
		}
		l.show(l.apply(h.Changes))
		l.doubt()
		l.confirm(h.feed, h.Known)
	case heardFailure:
		l.failure(h)
	}
}

func (l *Loop) failure(h heardFailure) {
	if !errors.Is(h.err, ErrHistoryGone) {
		// A store that forgets its past is there.
		l.failed = l.clock.Now()
	}
	l.stats.Counter("store_failures_total{feed=\"" + h.feed.String() + "\"}").Inc(1)
	if !l.lost[h.feed] {
		l.lost[h.feed] = true
		l.log.WithFields(logrus.Fields{"dependency": "store", "feed": h.feed.String()}).WithError(h.err).Warn("dependency lost")
	}
}

func (l *Loop) regained(feed Feed) {
	if l.lost[feed] {
		l.lost[feed] = false
		l.log.WithFields(logrus.Fields{"dependency": "store", "feed": feed.String()}).Info("dependency regained")
	}
}

func (l *Loop) confirm(feed Feed, at time.Time) {
	var known *atomic.Pointer[time.Time]
	switch feed {
	case FeedConfig:
		if l.outdated {
			// What is in force may have been replaced by what the store has lost as well.
			return
		}
		known = &l.board.confirmed
	case FeedServers:
		known = &l.board.listed
	default:
		return
	}
	if at.After(*known.Load()) {
		known.Store(&at)
	}
}

// apply takes changes over in order and reports whether any made a difference.
func (l *Loop) apply(changes []Change) bool {
	changed := false
	if l.terse = len(changes) > mostLogged; l.terse {
		defer func() {
			l.terse = false
			l.log.WithFields(logrus.Fields{"servers": len(l.servers), "entries": len(changes)}).Info("servers known")
		}()
	}
	for _, c := range changes {
		switch c := c.(type) {
		case Configured:
			changed = l.configure(c.Catalog) || changed
		case ServerSeen:
			changed = l.see(c.Entry) || changed
		case EntryUnusable:
			changed = l.disown(c) || changed
		case ServerGone:
			changed = l.miss(c.ID) || changed
		case EndSeen:
			l.hearEnd(c.End)
		case EndGone:
			l.ends.Forget(c.End, l.clock.Now())
		case Unreadable:
			l.stats.Counter("unreadable_total").Inc(1)
			l.log.WithField("key", c.Key).WithError(c.Err).Error("value not readable, the former one stays in force")
		}
	}
	return changed
}

func (l *Loop) configure(c *catalog.Catalog) bool {
	if l.outdated = l.catalog != nil && c.Version() < l.catalog.Version(); l.outdated {
		l.log.WithFields(logrus.Fields{"version": c.Version(), "in_force": l.catalog.Version()}).Warn("older configuration ignored")
		return false
	}
	if l.catalog != nil && c.Version() == l.catalog.Version() {
		return false
	}
	l.catalog = c
	l.stats.Gauge("configuration_version").Update(c.Version())
	l.log.WithFields(logrus.Fields{"version": c.Version()}).Info("configuration in force")
	return true
}

func (l *Loop) see(e backend.Entry) bool {
	k := l.servers[e.ID]
	if k == nil {
		return l.meet(e)
	}
	k.missing = time.Time{}
	if e.Revision < k.entry.Revision || k.entry.Incarnation().After(e.Incarnation()) {
		// A late word, or one of an earlier start.
		late, known := Position(e.Revision), Position(k.entry.Revision)
		l.log.WithFields(logrus.Fields{
			"server": e.ID, "revision": late.Revision(), "known": known.Revision(), "era": late.Era(), "known_era": known.Era(),
		}).Warn("late entry ignored")
		return false
	}
	if e.Service != k.entry.Service && !l.names(e.Service) {
		return l.disown(EntryUnusable{ID: e.ID, Field: "service", Value: e.Service, Err: errNoService})
	}
	if !k.entry.SameStart(e) {
		l.finish(k.server)
		return l.meet(e)
	}
	return l.renew(k, e)
}

// meet takes the first entry of a start over.
func (l *Loop) meet(e backend.Entry) bool {
	k := &known{server: l.newServer(e), entry: e}
	l.servers[e.ID] = k
	k.server.NoteLayers(l.clock.Now())
	l.noteLeaving(k)
	if !l.terse {
		l.logServer(e, "server known")
	}
	return true
}

// renew takes a newer entry of a known start over.
func (l *Loop) renew(k *known, e backend.Entry) bool {
	old, again := k.entry, k.unusable
	k.entry, k.unusable = e, false
	k.server.Update(e)
	if e.Layers != old.Layers {
		k.server.NoteLayers(l.clock.Now())
	}
	l.noteLeaving(k)
	if old.Same(e) && !again {
		return false
	}
	if !l.terse {
		l.logServer(e, "server changed")
	}
	return true
}

// noteLeaving keeps when a server was first heard to leave.
func (l *Loop) noteLeaving(k *known) {
	if k.entry.Leaving {
		k.server.NoteLeaving(l.clock.Now())
	}
}

func (l *Loop) logServer(e backend.Entry, message string) {
	l.log.WithFields(logrus.Fields{
		"server": e.ID, "address": e.Addr, "service": e.Service, "server_domain": e.Domain, "kind": e.Kind, "leaving": e.Leaving,
		"layers": e.Layers.String(), "revision": Position(e.Revision).Revision(), "era": Position(e.Revision).Era(),
	}).Info(message)
}

// names reports whether the configuration in force names a service.
func (l *Loop) names(service string) bool {
	return l.catalog != nil && l.catalog.Service(service) != nil
}

// finish notes that a server has started again, under its id: what was under way at its former start is lost.
func (l *Loop) finish(s *backend.Server) {
	s.Finish()
	l.log.WithFields(logrus.Fields{"server": s.ID(), "address": s.Addr(), "born": s.Incarnation().Born}).Info("server started again")
}

// disown takes a server out of use whose entry names none to use, until there is a good one. What it runs goes on.
func (l *Loop) disown(c EntryUnusable) bool {
	l.stats.Counter("entries_unusable_total{field=\"" + c.Field + "\"}").Inc(1)
	l.log.WithFields(logrus.Fields{"server": c.ID, "field": c.Field, "value": c.Value}).WithError(c.Err).Warn("entry names no server to use")
	k := l.servers[c.ID]
	if k == nil || k.unusable {
		return false
	}
	k.unusable = true
	return true
}

// show replaces the snapshot after a change, as a whole and never with a part of what was heard.
func (l *Loop) show(changed bool) {
	if !changed || l.catalog == nil {
		return
	}
	byService, byID := map[string][]*backend.Server{}, make(map[string]*backend.Server, len(l.servers))
	for id, k := range l.servers {
		byID[id] = k.server
		if !k.unusable {
			byService[k.server.Service()] = append(byService[k.server.Service()], k.server)
		}
	}
	groups := map[string]*backend.Group{}
	for _, service := range l.catalog.Services() {
		groups[service.Name] = backend.NewGroup(service, byService[service.Name])
	}
	l.board.current.Store(&Snapshot{catalog: l.catalog, groups: groups, byID: byID})
	l.stats.Gauge("servers_known").Update(int64(len(l.servers)))
}
