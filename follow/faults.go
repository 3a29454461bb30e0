package follow

import (
	"junctioncross/supervise"
)

// partName is the name of this part in lines on panics.
const partName = "fleet"

// faults is what the control goroutine keeps of its panics.
type faults struct {
	// change is the one that is being applied, nil if there is none.
	change Change
	// panicked is true once something has panicked over the present event.
	panicked bool
	// unapplied is true for each feed of which something was not applied that nothing else stands for: it does not count as known until it
	// was read in full again.
	unapplied [feeds]bool
	// unpublished is true while the control state differs from the snapshot in force.
	unpublished bool
	// publishing and housekeeping are the pauses after a panic.
	publishing, housekeeping supervise.Pause
}

// handleDelivery handles an event and tells its poller whether nothing panicked.
func (l *Loop) handleDelivery(d delivery) {
	l.faults.panicked = false
	defer func() { d.handled <- !l.faults.panicked }()
	feed := feedOf(d.event)
	if _, full := d.event.(fullFeed); full {
		l.faults.unapplied[feed] = false
	}
	if !l.guard.Call(partName, l.work, func() { l.handle(d.event) }) {
		l.faults.panicked, l.faults.unapplied[feed], l.faults.unpublished = true, true, true
	}
}

// tryChange applies a change, or skips it if that panics, and reports whether it made a difference. A server whose change was skipped is out
// of use until another entry of it is applied: it may be leaving.
func (l *Loop) tryChange(c Change) (changed bool) {
	outer := l.faults.change
	l.faults.change = c
	defer func() { l.faults.change = outer }()
	if l.guard.Call(partName, l.work, func() { changed = l.applyChange(c) }) {
		return changed
	}
	l.faults.panicked = true
	switch c := c.(type) {
	case Configured:
		l.faults.unapplied[FeedConfig] = true
	case ServerSeen:
		l.setAside(c.Entry.ID)
	case EntryUnusable:
		l.setAside(c.ID)
	case ServerGone:
		l.setAside(c.ID)
	}
	return true
}

// setAside takes a server out of use whose state may be half changed. The requests that it runs go on.
func (l *Loop) setAside(id string) {
	if tracked := l.servers[id]; tracked != nil {
		tracked.unusable = true
	}
}

// keepHouse does the work that no event triggers; after a panic it leaves that for some time.
func (l *Loop) keepHouse() {
	now := l.clock.Now()
	if l.faults.housekeeping.Over(now) && !l.guard.Call(partName, l.work, l.housekeep) {
		l.faults.housekeeping.Begin(now)
		l.faults.unpublished = true
	}
}

// work returns what the control goroutine was working on, for the log.
func (l *Loop) work() supervise.Work {
	w := supervise.Work{}
	if l.catalog != nil {
		w.Config = l.catalog.Version()
	}
	switch c := l.faults.change.(type) {
	case Configured:
		w.Record = FeedConfig.String()
	case ServerSeen:
		w.Record, w.Service, w.Revision = c.Entry.ID, c.Entry.Service, Position(c.Entry.Revision).Revision()
	case EntryUnusable:
		w.Record = c.ID
	case ServerGone:
		w.Record = c.ID
	case EndSeen:
		w.Record = c.End.Request.String()
	case EndGone:
		w.Record = c.End.Request.String()
	case Unreadable:
		w.Record = c.Key
	}
	return w
}

// feedOf returns the feed of an event.
func feedOf(e FeedEvent) Feed {
	switch e := e.(type) {
	case fullFeed:
		return e.feed
	case feedUpdates:
		return e.feed
	case feedFailure:
		return e.feed
	default:
		return FeedServers
	}
}
