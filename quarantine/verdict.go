package quarantine

import (
	"math"
	"slices"
	"time"
)

// blamedParts returns the parts with sufficient evidence against them.
func (b *parts) blamedParts() map[Part]*partRecord {
	b.judgeChanged()
	return b.blamed
}

// judgeChanged weighs the parts whose ends have changed.
func (b *parts) judgeChanged() {
	if len(b.changed) == 0 {
		return
	}
	clear(b.rivals)
	clear(b.failed)
	for p := range b.changed {
		delete(b.changed, p)
		r := b.records[p]
		if r == nil {
			delete(b.blamed, p)
			continue
		}
		v := r.evidence(noServer, math.MaxInt)
		r.weight, r.breadth, r.latest, r.turns = v.weight(), v.breadth(), v.latest, nil
		if b.suffices(p, r, noServer) {
			b.blamed[p] = r
			if r.blamedAt.IsZero() {
				r.blamedAt = v.latest
			}
		} else {
			delete(b.blamed, p)
		}
	}
}

// suffices reports whether the ends of a part suffice to blame it, without those for which other parts account. A part of whose ends
// others account for most is unlikely to have caused the rest.
func (b *parts) suffices(p Part, r *partRecord, accounted func(server string) bool) bool {
	v := r.evidence(accounted, max(b.settings.Ends, minWeakRequests))
	if v.servers < len(r.ends)-v.servers {
		return false
	}
	if _, wasReleased := b.released[p]; wasReleased && v.begunServers > 0 {
		return true
	}
	return v.suffices(b.settings, b.terminatedSince(p.Service, r, v.first))
}

// terminatedSince returns the number of servers of a service that have terminated since a moment, those under a part included: other
// requests may have told of these before.
func (b *parts) terminatedSince(service string, r *partRecord, since time.Time) int {
	n := len(r.ends)
	for server, at := range b.terminated[service] {
		if r.ends[server] == nil && !at.Before(since) {
			n++
		}
	}
	return n
}

// quarantined returns a part for which a request with these parts is quarantined, and when its latest end was. A part that all
// harmful requests share with harmless ones has as many ends as the harmful part, so ends for which a part that the request lacks
// accounts are no evidence against it.
func (b *parts) quarantined(of []Part) (part Part, latest time.Time, ok bool) {
	blamed := b.blamedParts()
	if len(blamed) == 0 {
		return Part{}, time.Time{}, false
	}
	for _, p := range of {
		r := blamed[p]
		if r == nil {
			continue
		}
		rivals := b.rivalsOf(p, r)
		if len(rivals) == 0 {
			return p, r.latest, true
		}
		accounted := func(server string) bool {
			return slices.ContainsFunc(rivals[server], func(rival Part) bool { return !slices.Contains(of, rival) })
		}
		if b.suffices(p, r, accounted) {
			return p, r.latest, true
		}
	}
	return Part{}, time.Time{}, false
}

// rivalsOf returns, for each server that terminated under a part, the other parts that explain its end at least as well. They need not
// be blamed: before a harmful part has come in enough requests for that, what it shares with harmless ones has come in more.
func (b *parts) rivalsOf(p Part, r *partRecord) map[string][]Part {
	if rivals, ok := b.rivals[p]; ok {
		return rivals
	}
	rivals := map[string][]Part{}
	for other, o := range b.records {
		if other == p || other.Service != p.Service || o.weight < r.weight {
			continue
		}
		for server := range o.ends {
			if o.accountsFor(server, r) {
				rivals[server] = append(rivals[server], other)
			}
		}
	}
	b.rivals[p] = rivals
	return rivals
}

// accountsFor reports whether a server may have terminated under this part in place of another one: not if it had just begun to answer
// requests with the other one only. Of requests without the other one, only those with a far narrower part account for its ends: narrow
// parts are often on the same servers by chance.
func (r *partRecord) accountsFor(server string, other *partRecord) bool {
	own, of := r.ends[server], other.ends[server]
	if own == nil || of == nil || !own.justBegun() && of.justBegun() {
		return false
	}
	return own.isInAll(of) || r.breadth <= maxRivalBreadth*other.breadth
}

// noServer is for counting all ends of a part.
func noServer(string) bool { return false }
