package follow

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// lapseGrace is how long a server whose entry vanished around an outage of the store is kept: live servers write theirs
	// again within two seconds of the store's return.
	lapseGrace = 2200 * time.Millisecond
	// outageEcho is how long after the last failed call a vanished entry is put down to the outage.
	outageEcho = 3 * time.Second
	// lapseShare is the part of a service's servers up to which vanished ones get no new work while they are kept: so few may
	// as well be leaving, and the others can do without them. When more vanish, their entries have lapsed with the store.
	lapseShare = 0.1
)

// miss takes note of a vanished entry; around an outage of the store the server is kept for a while.
func (l *Loop) miss(id string) bool {
	k := l.servers[id]
	if k == nil {
		return false
	}
	now := l.clock.Now()
	if l.echoes(now) && !k.server.Leaving() {
		if k.missing.IsZero() {
			k.missing = now
			l.log.WithField("server", id).Info("server entry vanished around an outage of the store, kept for now")
		}
		return false
	}
	l.remove(id, k)
	return true
}

// echoes reports whether an entry that vanishes now may have lapsed in an outage of the store.
func (l *Loop) echoes(now time.Time) bool {
	return !l.failed.IsZero() && now.Sub(l.failed) < outageEcho
}

func (l *Loop) remove(id string, k *known) {
	since := k.missing
	if since.IsZero() {
		since = l.clock.Now()
	}
	k.server.NoteLeaving(since)
	calm := !l.echoes(l.clock.Now())
	if calm {
		k.server.Remove()
	} else {
		k.server.Lapse()
	}
	l.remember(k, calm)
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
			dropped = l.miss(id) || dropped
		}
	}
	return dropped
}

// tidy drops servers that did not come back after an outage, and connections that have rested too long.
func (l *Loop) tidy() {
	now := l.clock.Now()
	dropped := false
	for id, k := range l.servers {
		if !k.missing.IsZero() && now.Sub(k.missing) >= lapseGrace && !l.lost[FeedServers] {
			l.remove(id, k)
			dropped = true
		}
	}
	l.show(dropped)
	if dropped {
		l.doubt()
	}
	for _, k := range l.servers {
		k.server.CloseExpired(now)
	}
	l.forget(now)
	l.ends.Tidy(now)
	l.stats.Gauge("quarantine_requests").Update(int64(l.ends.Size()))
}
