package relay

import (
	"bytes"
	"slices"
	"sort"
	"sync"
	"time"

	"junctioncross/follow"
)

// leastHistory is the least number of changes that are kept for instances that ask for them. As many are kept as change when all of a feed
// does, as after an outage of the store in which the entries of all servers have lapsed.
const (
	leastHistory = 1024
	historyShare = 2
)

// feedLog keeps the latest changes of one feed for other instances.
type feedLog struct {
	mu      sync.Mutex
	at      follow.Position
	history []Record
	// floor is the position after which the history is whole.
	floor follow.Position
	// gaps are the parts of the history of which only what is different in the end is known.
	gaps []gap
	// known is the moment up to which nothing but the history has changed.
	known time.Time
	// direct is true while the feed is followed in the store itself.
	direct bool
	// whole holds the feed's present content, by key.
	whole map[string]Record
	// largest is the largest number of keys that the feed has held.
	largest int
	// changed is closed at the next news.
	changed chan struct{}

	packing sync.Mutex
	packs   packs
}

func newFeedLog() *feedLog { return &feedLog{changed: make(chan struct{}), whole: map[string]Record{}} }

// restart takes over a feed that was read whole. What differs from before is added to the history, so that others need not
// read the store when it has forgotten its own.
func (l *feedLog) restart(h heard, direct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == 0 {
		l.floor = h.at
		l.put(h.records)
		l.take(h, direct)
		return
	}
	out := l.differences(h)
	l.skip(h.at)
	l.add(out)
	l.take(h, direct)
}

// gap lies between a position and that of a reading of the whole feed. What came and went between them stands nowhere, so that those who
// heard of it elsewhere would keep it.
type gap struct{ from, to follow.Position }

// mostGaps bounds the gaps that are kept.
const mostGaps = 64

// skip notes that the history up to a position tells only what is different from what was known before; the caller holds the lock.
func (l *feedLog) skip(to follow.Position) {
	if to <= l.at {
		return
	}
	if len(l.gaps) == mostGaps {
		l.floor = max(l.floor, l.gaps[0].to)
		l.gaps = l.gaps[1:]
	}
	l.gaps = append(l.gaps, gap{from: l.at, to: to})
}

// differences returns the changes that lead from the present content to another; the caller holds the lock.
func (l *feedLog) differences(h heard) []Record {
	var out []Record
	listed := make(map[string]bool, len(h.records))
	for _, r := range h.records {
		listed[r.Key] = true
		held, known := l.whole[r.Key]
		if known && r.Revision.Era() != held.Revision.Era() && bytes.Equal(r.Value, held.Value) {
			// A store that has lost writes gives old content new positions.
			continue
		}
		if r.Revision.Era() != h.at.Era() && !bytes.Equal(r.Value, held.Value) {
			// Whoever passes this on has held it since before the loss, while what is held here was lost.
			r.Revision = h.at
		}
		if r.Revision > held.Revision {
			out = append(out, r)
		}
	}
	for key := range l.whole {
		if !listed[key] {
			// When exactly the key was removed is not known; it was no later than the reading.
			out = append(out, Record{Key: key, Revision: h.at, Gone: true})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Revision < out[j].Revision })
	return out
}

// missing returns the changes that lead from the present content to another.
func (l *feedLog) missing(h heard) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.differences(h)
}

// extend adds what was heard.
func (l *feedLog) extend(h heard, direct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h.skips || h.at.Era() != l.at.Era() {
		l.skip(h.at)
	}
	l.add(h.records)
	l.take(h, direct)
}

// add adds changes to history and content; the caller holds the lock.
func (l *feedLog) add(records []Record) {
	l.history = append(l.history, records...)
	l.put(records)
	if over := len(l.history) - max(leastHistory, historyShare*l.largest); over > 0 {
		l.floor = l.history[over-1].Revision
		l.history = append([]Record(nil), l.history[over:]...)
	}
}

// put brings the content up to date; the caller holds the lock.
func (l *feedLog) put(records []Record) {
	for _, r := range records {
		if r.Gone {
			delete(l.whole, r.Key)
			continue
		}
		l.whole[r.Key] = r
	}
	l.largest = max(l.largest, len(l.whole))
}

// take notes the position and wakes those that wait; the caller holds the lock.
func (l *feedLog) take(h heard, direct bool) {
	l.at = max(l.at, h.at)
	if h.known.After(l.known) {
		l.known = h.known
	}
	l.direct = direct
	l.wakeLocked()
}

// wake lets those that wait look again.
func (l *feedLog) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wakeLocked()
}

func (l *feedLog) wakeLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// lose notes that the store cannot be followed at present.
func (l *feedLog) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.direct = false
	l.wakeLocked()
}

// followed reports whether the feed is followed in the store itself.
func (l *feedLog) followed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.direct
}

// packed returns the compressed records of a part of the feed, and nothing when they are few.
func (l *feedLog) packed(part span, records []Record) ([]byte, error) {
	l.packing.Lock()
	defer l.packing.Unlock()
	return l.packs.get(part, records)
}

// news returns what is closed at the next news.
func (l *feedLog) news() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// reached returns how far the feed is known, and the moment up to which nothing else has changed.
func (l *feedLog) reached() (at follow.Position, known time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.at, l.known
}

// view is what a feedLog can tell at one moment.
type view struct {
	heard
	// whole is false when changes after the position are missing.
	whole   bool
	direct  bool
	changed <-chan struct{}
}

// all returns the whole content.
func (l *feedLog) all() view {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := view{heard: heard{at: l.at, known: l.known}, whole: true, direct: l.direct, changed: l.changed}
	for _, r := range l.whole {
		v.records = append(v.records, r)
	}
	return v
}

// leadsFrom reports whether the history tells all that is different now from what was known at a position; the caller holds the lock.
func (l *feedLog) leadsFrom(after follow.Position) bool {
	if after < l.floor || after.Era() > l.at.Era() {
		return false
	}
	return !slices.ContainsFunc(l.gaps, func(g gap) bool { return g.from < after && after < g.to })
}

// since returns the changes after a position.
func (l *feedLog) since(after follow.Position) view {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := view{heard: heard{at: l.at, known: l.known}, whole: l.leadsFrom(after), direct: l.direct, changed: l.changed}
	for _, r := range l.history {
		if r.Revision > after {
			v.records = append(v.records, r)
		}
	}
	return v
}
