package follow

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// expiryGrace is how long a server whose entry vanished around an outage of the store is kept: live servers write theirs
	// again within two seconds of the store's return.
	expiryGrace = 2200 * time.Millisecond
	// outageWindow is how long after the last failed call a vanished entry is put down to the outage.
	outageWindow = 3 * time.Second
	// maxLeavingShare is the part of a service's servers up to which vanished ones get no new work while they are kept: so few may
	// as well be leaving, and the others can do without them. When more vanish, their entries have lapsed with the store.
	maxLeavingShare = 0.1
)

// handleVanished takes note of a vanished entry; around an outage of the store the server is kept for a while.
func (l *Loop) handleVanished(id string) bool {
	k := l.servers[id]
	if k == nil {
		return false
	}
	now := l.clock.Now()
	if l.inOutageWindow(now) && !k.server.Leaving() {
		if k.missingSince.IsZero() {
			k.missingSince = now
			l.log.WithField("server", id).Info("server entry vanished around an outage of the store, kept for now")
		}
		return false
	}
	l.remove(id, k)
	return true
}

// inOutageWindow reports whether an entry that vanishes now may have lapsed in an outage of the store.
func (l *Loop) inOutageWindow(now time.Time) bool {
	return !l.lastFailure.IsZero() && now.Sub(l.lastFailure) < outageWindow
}

func (l *Loop) remove(id string, k *trackedServer) {
	since := k.missingSince
	if since.IsZero() {
		since = l.clock.Now()
	}
	k.server.NoteLeaving(since)
	hasLeft := !l.inOutageWindow(l.clock.Now())
	if hasLeft {
		k.server.Remove()
	} else {
		k.server.Lapse()
	}
	l.rememberFormer(k, hasLeft)
	l.log.WithFields(logrus.Fields{"server": id, "address": k.server.Addr()}).Info("server gone")
	delete(l.servers, id)
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
			dropped = l.handleVanished(id) || dropped
		}
	}
	return dropped
}

// housekeep drops servers that did not come back after an outage, and connections that have rested too long.
func (l *Loop) housekeep() {
	now := l.clock.Now()
	dropped := false
	for id, k := range l.servers {
		if !k.missingSince.IsZero() && now.Sub(k.missingSince) >= expiryGrace && !l.failing[FeedServers] {
			l.remove(id, k)
			dropped = true
		}
	}
	l.publish(dropped)
	if dropped {
		l.markPossiblyLeaving()
	}
	for _, k := range l.servers {
		k.server.CloseExpired(now)
	}
	l.forgetFormer(now)
	l.ends.Tidy(now)
	l.stats.Gauge("quarantine_requests").Update(int64(l.ends.Size()))
}
