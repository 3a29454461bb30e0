package follow

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// expiryGrace is how long a server is kept after its entry has vanished around an outage of the store: live servers
	// write their entries again within two seconds of the store's return.
	expiryGrace = 2200 * time.Millisecond
	// outageWindow is how long after the last failed call a vanished entry is attributed to the outage.
	outageWindow = 3 * time.Second
	// maxLeavingShare is the share of a service's servers up to which servers with vanished entries get no new work
	// while they are kept: so few may well be leaving, and the other servers suffice without them. When more entries
	// vanish, they have expired in the outage.
	maxLeavingShare = 0.1
)

// handleVanished handles a vanished entry: the server is removed, or kept for expiryGrace around an outage of the store.
// It reports whether the server was removed.
func (l *Loop) handleVanished(id string) bool {
	tracked := l.servers[id]
	if tracked == nil {
		return false
	}
	now := l.clock.Now()
	if l.inOutageWindow(now) && !tracked.server.Leaving() {
		if tracked.missingSince.IsZero() {
			tracked.missingSince = now
			l.log.WithField("server", id).Info("server entry vanished around an outage of the store, kept for now")
		}
		return false
	}
	l.remove(id, tracked)
	return true
}

// inOutageWindow reports whether an entry that vanishes now may have expired in an outage of the store.
func (l *Loop) inOutageWindow(now time.Time) bool {
	return !l.lastFailure.IsZero() && now.Sub(l.lastFailure) < outageWindow
}

// remove removes a server, and remembers it in case its entry comes back.
func (l *Loop) remove(id string, tracked *trackedServer) {
	since := tracked.missingSince
	if since.IsZero() {
		since = l.clock.Now()
	}
	tracked.server.NoteLeaving(since)
	hasLeft := !l.inOutageWindow(l.clock.Now())
	if hasLeft {
		tracked.server.Remove()
	} else {
		tracked.server.MarkGone()
	}
	l.rememberFormer(tracked, hasLeft)
	l.log.WithFields(logrus.Fields{"server": id, "address": tracked.server.Addr()}).Info("server gone")
	delete(l.servers, id)
}

// dropUnlisted handles the entries that a full read does not list as vanished, and reports whether a server was removed.
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
			dropped = l.tryChange(ServerGone{ID: id}) || dropped
		}
	}
	return dropped
}

// housekeep removes servers whose entries did not come back after an outage, and closes connections that have been idle
// for too long. It also forgets former servers and ends that have expired.
func (l *Loop) housekeep() {
	now := l.clock.Now()
	dropped := false
	for id, tracked := range l.servers {
		if !tracked.missingSince.IsZero() && now.Sub(tracked.missingSince) >= expiryGrace && !l.failing[FeedServers] {
			l.remove(id, tracked)
			dropped = true
		}
	}
	l.publish(dropped)
	if dropped {
		l.markPossiblyLeaving()
	}
	for _, tracked := range l.servers {
		tracked.server.CloseExpired(now)
	}
	l.forgetFormer(now)
	l.ends.Expire(now)
	l.stats.Gauge("quarantine_requests").Update(int64(l.ends.Size()))
	l.stats.Gauge("quarantine_parts").Update(int64(l.ends.Parts()))
}
