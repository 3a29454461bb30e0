package forward

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"junctioncross/backend"
	"junctioncross/follow"
	"junctioncross/loadview"
)

// outOfUse notes since when servers have got no new work, and why. It is safe for concurrent use.
type outOfUse struct {
	mu    sync.Mutex
	since map[*backend.Server]notedReason
}

// notedReason is a reason and when it was first noted.
type notedReason struct {
	reason backend.Reason
	at     time.Time
}

// note brings the reasons of all servers up to date and forgets servers that are in no group any more.
func (o *outOfUse) note(snapshot *follow.Snapshot, instances int, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := map[*backend.Server]notedReason{}
	for _, group := range snapshot.Groups() {
		for _, s := range group.Servers() {
			o.noteLocked(next, s, instances, now)
		}
	}
	o.since = next
}

// noteLocked notes in next the reason of a server that is out of use, with the earlier time if the reason is the same.
func (o *outOfUse) noteLocked(next map[*backend.Server]notedReason, s *backend.Server, instances int, now time.Time) {
	out, ok := s.OutOfUse(instances, now)
	if !ok {
		return
	}
	if former, known := o.since[s]; known && former.reason == out.Reason {
		next[s] = former
		return
	}
	next[s] = notedReason{reason: out.Reason, at: now}
}

// sinceOf returns since when a server has been out of use for a reason.
func (o *outOfUse) sinceOf(s *backend.Server, out backend.OutOfUse, now time.Time) time.Time {
	if !out.Since.IsZero() {
		return out.Since
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if noted, known := o.since[s]; known && noted.reason == out.Reason {
		return noted.at
	}
	return now
}

// serversOutOfUse returns the servers of a group that get no new work, at most loadview.MaxServers, and how many there are.
func (h *Handler) serversOutOfUse(group *backend.Group, now time.Time) ([]loadview.Server, int) {
	list := []loadview.Server{}
	for _, s := range group.Servers() {
		out, ok := s.OutOfUse(h.instances.Instances(), now)
		if !ok {
			continue
		}
		one := loadview.Server{
			Server: s.ID(), Domain: s.Domain(), Reason: string(out.Reason), Silent: silentOf(s),
			SinceMS: now.Sub(h.outOfUse.sinceOf(s, out, now)).Milliseconds(),
		}
		if !out.Until.IsZero() {
			one.LeftMS = max(out.Until.Sub(now), 0).Milliseconds()
		}
		list = append(list, one)
	}
	slices.SortFunc(list, func(a, b loadview.Server) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Server, b.Server))
	})
	return list[:min(len(list), loadview.MaxServers)], len(list)
}

// silentOf returns who got no answer from a server, as a value of loadview.Server.Silent.
func silentOf(s *backend.Server) string {
	switch silent, own := s.Silent(); {
	case silent && own:
		return loadview.SilentOwn
	case silent:
		return loadview.SilentOther
	default:
		return ""
	}
}
