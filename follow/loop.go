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
	"junctioncross/supervise"
	"junctioncross/timer"
)

const (
	// housekeepingPeriod is the period of the work that no event triggers.
	housekeepingPeriod = 250 * time.Millisecond
	// eventQueueSize is the number of events that wait while the control goroutine is busy.
	eventQueueSize = 16
	// maxLoggedEntries is the number of entries in one update up to which each gets a log line of its own. Otherwise
	// each of hundreds of instances would log thousands of lines at its start and while all servers load.
	maxLoggedEntries = 100
)

// Loop owns the control state of an instance: it applies the events of the feeds and publishes snapshots.
type Loop struct {
	view   *FleetView
	ends   *quarantine.Book
	clock  *timer.Service
	stats  *metrics.Registry
	log    *logrus.Logger
	guard  *supervise.Supervisor
	events chan delivery

	catalog *catalog.Catalog
	// servers holds the servers by id: those with an entry, and those kept around an outage of the store.
	servers map[string]*trackedServer
	// former holds servers without an entry, in case their entries come back.
	former map[backend.Incarnation]formerServer
	// failing is true for each feed whose last call failed.
	failing [feeds]bool
	// storeOutdated is true while the store holds an older configuration than the one in force.
	storeOutdated bool
	// positions holds the position up to which each feed is known.
	positions [feeds]Position
	// lastFailure is when a call last failed or the store was last found to have lost writes.
	lastFailure time.Time
	// terse is true while more than maxLoggedEntries entries are applied, which share one log line.
	terse  bool
	faults faults
}

// New returns a Loop and starts it; it stops when ctx ends.
func New(
	ctx context.Context, source Source, view *FleetView, ends *quarantine.Book, clock *timer.Service, stats *metrics.Registry,
	log *logrus.Logger,
) *Loop {
	l := &Loop{
		view: view, ends: ends, clock: clock, stats: stats, log: log, guard: supervise.New(clock, stats, log),
		events: make(chan delivery, eventQueueSize), servers: map[string]*trackedServer{}, former: map[backend.Incarnation]formerServer{},
	}
	for _, feed := range []Feed{FeedConfig, FeedServers, FeedQuarantine} {
		p := &poller{source: source, clock: clock, feed: feed, events: l.events}
		go func() { l.guard.Keep(ctx, partName, p.work, p.run) }()
	}
	ticks := clock.Subscribe(housekeepingPeriod)
	go func() {
		defer ticks.Stop()
		for {
			select {
			case d := <-l.events:
				l.handleDelivery(d)
			case <-ticks.C():
				l.keepHouse()
			case <-ctx.Done():
				return
			}
		}
	}()
	return l
}

// handle applies an event of a feed.
func (l *Loop) handle(e FeedEvent) {
	switch e := e.(type) {
	case fullFeed:
		l.noteRegained(e.feed)
		lostWrites := l.notePosition(e.feed, e.At)
		dropped := e.feed == FeedServers && l.dropUnlisted(e.Changes)
		l.publish(l.apply(e.Changes) || dropped)
		if e.feed == FeedQuarantine && !lostWrites {
			l.dropUnlistedEnds(e.Changes)
		}
		l.markPossiblyLeaving()
		l.confirm(e.feed, e.AsOf)
	case feedUpdates:
		l.noteRegained(e.feed)
		if l.notePosition(e.feed, e.At) && e.feed == FeedQuarantine {
			e.Changes = slices.DeleteFunc(e.Changes, isEndGone)
		}
		l.publish(l.apply(e.Changes))
		l.markPossiblyLeaving()
		l.confirm(e.feed, e.AsOf)
	case feedFailure:
		l.handleFailure(e)
	}
}

// handleFailure records a failed call of a feed; only the first of several in a row is logged.
func (l *Loop) handleFailure(f feedFailure) {
	if !errors.Is(f.err, ErrHistoryGone) {
		// A store that no longer has the history is available all the same.
		l.lastFailure = l.clock.Now()
	}
	l.stats.Counter("store_failures_total{feed=\"" + f.feed.String() + "\"}").Inc(1)
	if !l.failing[f.feed] {
		l.failing[f.feed] = true
		l.log.WithFields(logrus.Fields{"dependency": "store", "feed": f.feed.String()}).WithError(f.err).Warn("dependency lost")
	}
}

// noteRegained logs the first successful call of a feed after failed ones.
func (l *Loop) noteRegained(feed Feed) {
	if l.failing[feed] {
		l.failing[feed] = false
		l.log.WithFields(logrus.Fields{"dependency": "store", "feed": feed.String()}).Info("dependency regained")
	}
}

// confirm records the time as of which a feed is known to be complete.
func (l *Loop) confirm(feed Feed, at time.Time) {
	if l.faults.unpublished || l.faults.unapplied[feed] {
		// What is in force is not what the feed says.
		return
	}
	var newest *atomic.Pointer[time.Time]
	switch feed {
	case FeedConfig:
		if l.storeOutdated {
			// The configuration in force may have been replaced by a newer one that the store has lost as well.
			return
		}
		newest = &l.view.confirmed
	case FeedServers:
		newest = &l.view.listed
	default:
		return
	}
	if at.After(*newest.Load()) {
		newest.Store(&at)
	}
}

// apply applies changes in order and reports whether any made a difference.
func (l *Loop) apply(changes []Change) bool {
	changed := false
	if l.terse = len(changes) > maxLoggedEntries; l.terse {
		defer func() {
			l.terse = false
			l.log.WithFields(logrus.Fields{"servers": len(l.servers), "entries": len(changes)}).Info("servers known")
		}()
	}
	for _, c := range changes {
		changed = l.tryChange(c) || changed
	}
	return changed
}

// applyChange applies one change and reports whether it made a difference.
func (l *Loop) applyChange(c Change) bool {
	switch c := c.(type) {
	case Configured:
		return l.applyConfig(c.Catalog)
	case ServerSeen:
		return l.applyEntry(c.Entry)
	case EntryUnusable:
		return l.markUnusable(c)
	case ServerGone:
		return l.handleVanished(c.ID)
	case EndSeen:
		l.addEnd(c.End)
	case EndGone:
		l.ends.Forget(c.End, l.clock.Now())
	case PartProved:
		l.ends.AddProofs([]quarantine.Proof{c.Proof}, l.clock.Now())
	case Unreadable:
		l.stats.Counter("unreadable_total").Inc(1)
		l.log.WithField("key", c.Key).WithError(c.Err).Error("value not readable, the former one stays in force")
	}
	return false
}

// applyConfig puts a configuration in force unless it is older than the present one, and reports whether it did.
func (l *Loop) applyConfig(c *catalog.Catalog) bool {
	if l.storeOutdated = l.catalog != nil && c.Version() < l.catalog.Version(); l.storeOutdated {
		l.log.WithFields(logrus.Fields{"version": c.Version(), "in_force": l.catalog.Version()}).Warn("older configuration ignored")
		return false
	}
	if l.catalog != nil && c.Version() == l.catalog.Version() {
		return false
	}
	l.catalog = c
	l.stats.Gauge("configuration_version").Update(c.Version())
	l.log.WithFields(logrus.Fields{"version": c.Version()}).Info("configuration in force")
	l.adoptAllLayers()
	return true
}

// publish replaces the snapshot if something has changed. All changes of an event become visible at once. After a panic the former snapshot
// stays, and another is built at the next change or after a pause.
func (l *Loop) publish(changed bool) {
	if l.catalog == nil {
		return
	}
	now := l.clock.Now()
	l.faults.unpublished = l.faults.unpublished || changed
	if !l.faults.unpublished || !changed && !l.faults.publishing.Over(now) {
		return
	}
	if !l.guard.Call(partName, l.work, l.publishNow) {
		l.faults.publishing.Begin(now)
		return
	}
	l.faults.unpublished = false
	l.guard.Call(partName, l.work, func() { l.noteMisfits(l.view.Current()) })
}

// publishNow builds a snapshot and puts it in the place of the former one.
func (l *Loop) publishNow() {
	l.view.current.Store(newSnapshot(l.catalog, l.servers))
	l.stats.Gauge("servers_known").Update(int64(len(l.servers)))
}
