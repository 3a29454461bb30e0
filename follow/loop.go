package follow

import (
	"context"
	"maps"
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
	// lapseGrace is how long a server whose entry vanished around an outage of the store is kept: live servers write theirs
	// again within two seconds of the store's return.
	lapseGrace = 2200 * time.Millisecond
	// outageEcho is how long after the last failed call a vanished entry is put down to the outage.
	outageEcho = 3 * time.Second
	// lapseShare is the part of a service's servers up to which vanished ones get no new work while they are kept: so few may
	// as well be leaving, and the others can do without them. When more vanish, their entries have lapsed with the store.
	lapseShare = 0.1
	// heardQueue holds messages while the control goroutine is busy.
	heardQueue = 16
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
	servers map[string]*backend.Server
	entries map[string]backend.Entry
	// missing holds when servers were first missed whose entry vanished around an outage.
	missing map[string]time.Time
	// unusable holds the servers whose entries name none to use at present.
	unusable map[string]bool
	// former holds the servers without an entry that have said something which still holds, should their entries come back.
	former map[backend.Incarnation]*backend.Server
	// lost says which feeds fail at present.
	lost [feeds]bool
	// failed is when a call last failed.
	failed time.Time
}

// New returns a Loop and starts it; it stops when ctx ends.
func New(
	ctx context.Context, source Source, board *Board, ends *quarantine.Book, clock *timer.Service, stats *metrics.Registry,
	log *logrus.Logger,
) *Loop {
	l := &Loop{
		board: board, ends: ends, clock: clock, stats: stats, log: log, heard: make(chan Heard, heardQueue),
		servers: map[string]*backend.Server{}, entries: map[string]backend.Entry{}, missing: map[string]time.Time{},
		unusable: map[string]bool{}, former: map[backend.Incarnation]*backend.Server{},
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
		dropped := h.feed == FeedServers && l.dropUnlisted(h.Changes)
		l.show(l.apply(h.Changes) || dropped)
		if h.feed == FeedQuarantine {
			l.dropUnlistedEnds(h.Changes)
		}
		l.doubt()
		l.confirm(h.feed, h.Known)
	case heardChanges:
		l.regained(h.feed)
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
	if l.catalog != nil && c.Version() <= l.catalog.Version() {
		if c.Version() < l.catalog.Version() {
			l.log.WithFields(logrus.Fields{"version": c.Version(), "in_force": l.catalog.Version()}).Warn("older configuration ignored")
		}
		return false
	}
	l.catalog = c
	l.stats.Gauge("configuration_version").Update(c.Version())
	l.log.WithFields(logrus.Fields{"version": c.Version()}).Info("configuration in force")
	return true
}

func (l *Loop) see(e backend.Entry) bool {
	delete(l.missing, e.ID)
	old, known := l.entries[e.ID]
	if known && e.Revision < old.Revision {
		return false
	}
	l.entries[e.ID] = e
	if known && old.Incarnation().After(e.Incarnation()) {
		// A late word of an earlier start.
		l.entries[e.ID] = old
		return false
	}
	if l.servers[e.ID] != nil && e.Service != old.Service && !l.names(e.Service) {
		l.entries[e.ID] = old
		return l.disown(EntryUnusable{ID: e.ID, Field: "service", Value: e.Service, Err: errNoService})
	}
	again := l.unusable[e.ID]
	delete(l.unusable, e.ID)
	s := l.servers[e.ID]
	if s != nil && !old.SameStart(e) {
		l.finish(s)
		s = nil
	}
	if s == nil {
		l.servers[e.ID] = l.newServer(e)
		l.servers[e.ID].NoteLayers(l.clock.Now())
		l.noteLeaving(e)
		l.logServer(e, "server known")
		return true
	}
	s.Update(e)
	if e.Layers != old.Layers {
		s.NoteLayers(l.clock.Now())
	}
	l.noteLeaving(e)
	if old.Same(e) && !again {
		return false
	}
	l.logServer(e, "server changed")
	return true
}

// noteLeaving keeps when a server was first heard to leave.
func (l *Loop) noteLeaving(e backend.Entry) {
	if e.Leaving {
		l.servers[e.ID].NoteLeaving(l.clock.Now())
	}
}

func (l *Loop) logServer(e backend.Entry, message string) {
	l.log.WithFields(logrus.Fields{
		"server": e.ID, "address": e.Addr, "service": e.Service, "server_domain": e.Domain, "kind": e.Kind, "leaving": e.Leaving,
		"layers": e.Layers.String(), "revision": e.Revision,
	}).Info(message)
}

// miss takes note of a vanished entry; around an outage of the store the server is kept for a while.
func (l *Loop) miss(id string) bool {
	s := l.servers[id]
	if s == nil {
		return false
	}
	now := l.clock.Now()
	if l.echoes(now) && !s.Leaving() {
		if _, ok := l.missing[id]; !ok {
			l.missing[id] = now
			l.log.WithField("server", id).Info("server entry vanished around an outage of the store, kept for now")
		}
		return false
	}
	l.remove(id)
	return true
}

// echoes reports whether an entry that vanishes now may have lapsed in an outage of the store.
func (l *Loop) echoes(now time.Time) bool {
	return !l.failed.IsZero() && now.Sub(l.failed) < outageEcho
}

func (l *Loop) remove(id string) {
	if s := l.servers[id]; s != nil {
		since, ok := l.missing[id]
		if !ok {
			since = l.clock.Now()
		}
		s.NoteLeaving(since)
		if l.echoes(l.clock.Now()) {
			s.Lapse()
		} else {
			s.Remove()
		}
		l.remember(s)
		l.log.WithFields(logrus.Fields{"server": id, "address": s.Addr()}).Info("server gone")
	}
	delete(l.servers, id)
	delete(l.entries, id)
	delete(l.missing, id)
	delete(l.unusable, id)
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
	if l.servers[c.ID] == nil || l.unusable[c.ID] {
		return false
	}
	l.unusable[c.ID] = true
	return true
}

// dropUnlisted takes the servers as gone that a whole reading does not list, and reports whether there were any.
func (l *Loop) dropUnlisted(changes []Change) bool {
	listed := make(map[string]bool, len(changes))
	for _, c := range changes {
		switch c := c.(type) {
		case ServerSeen:
			listed[c.Entry.ID] = true
		case EntryUnusable:
			listed[c.ID] = true
		}
	}
	dropped := false
	for id := range l.servers {
		if !listed[id] {
			dropped = l.miss(id) || dropped
		}
	}
	return dropped
}

// tidy drops servers that did not come back after an outage, and connections that have rested too long.
func (l *Loop) tidy() {
	now := l.clock.Now()
	dropped := false
	for id, since := range l.missing {
		if now.Sub(since) >= lapseGrace && !l.lost[FeedServers] {
			l.remove(id)
			dropped = true
		}
	}
	l.show(dropped)
	if dropped {
		l.doubt()
	}
	for _, s := range l.servers {
		s.CloseExpired(now)
	}
	l.forget(now)
	l.ends.Tidy(now)
	l.stats.Gauge("quarantine_requests").Update(int64(l.ends.Size()))
}

// doubt keeps new work from servers whose entries have vanished while it is not known whether they leave, as long as these are
// few of their service.
func (l *Loop) doubt() {
	all, missing := map[string]int{}, map[string]int{}
	for id, s := range l.servers {
		all[s.Service()]++
		if _, ok := l.missing[id]; ok {
			missing[s.Service()]++
		}
	}
	for id, s := range l.servers {
		_, gone := l.missing[id]
		n := missing[s.Service()]
		few := n < all[s.Service()] && float64(n) <= max(1, lapseShare*float64(all[s.Service()]))
		s.Doubt(gone && few)
		switch {
		case gone && few:
			s.NoteLeaving(l.missing[id])
		case !s.Leaving():
			s.ForgetLeaving()
		}
	}
}

// show replaces the snapshot after a change, as a whole and never with a part of what was heard.
func (l *Loop) show(changed bool) {
	if !changed || l.catalog == nil {
		return
	}
	byService := map[string][]*backend.Server{}
	for id, s := range l.servers {
		if !l.unusable[id] {
			byService[s.Service()] = append(byService[s.Service()], s)
		}
	}
	groups := map[string]*backend.Group{}
	for _, service := range l.catalog.Services() {
		groups[service.Name] = backend.NewGroup(service, byService[service.Name])
	}
	l.board.current.Store(&Snapshot{catalog: l.catalog, groups: groups, byID: maps.Clone(l.servers)})
	l.stats.Gauge("servers_known").Update(int64(len(l.servers)))
}
