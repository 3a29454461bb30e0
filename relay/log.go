package relay

import (
	"bytes"
	"slices"
	"sort"
	"sync"
	"time"

	"junctioncross/follow"
)

// minHistory is the least number of changes that are kept for instances that ask for them. As many are kept as change when all of a feed
// does, as after an outage of the store in which the entries of all servers have lapsed.
const (
	minHistory    = 1024
	historyFactor = 2
)

// feedLog keeps the latest changes of one feed for other instances.
type feedLog struct {
	mu       sync.Mutex
	position follow.Position
	history  []Record
	// floor is the position after which the history is whole.
	floor follow.Position
	// gaps are the parts of the history of which only what is different in the end is known.
	gaps []gap
	// known is the moment up to which nothing but the history has changed.
	known time.Time
	// direct is true while the feed is followed in the store itself.
	direct bool
	// content holds the feed's present content, by key.
	content map[string]Record
	// maxKeys is the maxKeys number of keys that the feed has held.
	maxKeys int
	// changed is closed at the next news.
	changed chan struct{}

	cacheMu sync.Mutex
	cache   compressedCache
}

func newFeedLog() *feedLog {
	return &feedLog{changed: make(chan struct{}), content: map[string]Record{}}
}

// restart takes over a feed that was read whole. What differs from before is added to the history, so that others need not
// read the store when it has forgotten its own.
func (l *feedLog) restart(u heard, direct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.position == 0 {
		l.floor = u.at
		l.apply(u.records)
		l.advance(u, direct)
		return
	}
	out := l.diffLocked(u)
	l.addGap(u.at)
	l.appendLocked(out)
	l.advance(u, direct)
}

// gap lies between a position and that of a reading of the whole feed. What came and went between them stands nowhere, so that those who
// heard of it elsewhere would keep it.
type gap struct{ from, to follow.Position }

// maxGaps bounds the gaps that are kept.
const maxGaps = 64

// addGap notes that the history up to a position tells only what is different from what was known before; the caller holds the lock.
func (l *feedLog) addGap(to follow.Position) {
	if to <= l.position {
		return
	}
	if len(l.gaps) == maxGaps {
		l.floor = max(l.floor, l.gaps[0].to)
		l.gaps = l.gaps[1:]
	}
	l.gaps = append(l.gaps, gap{from: l.position, to: to})
}

// diffLocked returns the changes that lead from the present content to another; the caller holds the lock.
func (l *feedLog) diffLocked(u heard) []Record {
	var out []Record
	listed := make(map[string]bool, len(u.records))
	for _, r := range u.records {
		listed[r.Key] = true
		held, known := l.content[r.Key]
		if known && r.Revision.Era() != held.Revision.Era() && bytes.Equal(r.Value, held.Value) {
			// A store that has lost writes gives old content new positions.
			continue
		}
		if r.Revision.Era() != u.at.Era() && !bytes.Equal(r.Value, held.Value) {
			// Whoever passes this on has held it since before the loss, while what is held here was lost.
			r.Revision = u.at
		}
		if r.Revision > held.Revision {
			out = append(out, r)
		}
	}
	for key := range l.content {
		if !listed[key] {
			// When exactly the key was removed is not known; it was no later than the reading.
			out = append(out, Record{Key: key, Revision: u.at, Gone: true})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Revision < out[j].Revision })
	return out
}

// missing returns the changes that lead from the present content to another.
func (l *feedLog) missing(u heard) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.diffLocked(u)
}

// extend adds what was heard.
func (l *feedLog) extend(u heard, direct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.skips || u.at.Era() != l.position.Era() {
		l.addGap(u.at)
	}
	l.appendLocked(u.records)
	l.advance(u, direct)
}

// appendLocked adds changes to history and content; the caller holds the lock.
func (l *feedLog) appendLocked(records []Record) {
	l.history = append(l.history, records...)
	l.apply(records)
	if over := len(l.history) - max(minHistory, historyFactor*l.maxKeys); over > 0 {
		l.floor = l.history[over-1].Revision
		l.history = append([]Record(nil), l.history[over:]...)
	}
}

// apply brings the content up to date; the caller holds the lock.
func (l *feedLog) apply(records []Record) {
	for _, r := range records {
		if r.Gone {
			delete(l.content, r.Key)
			continue
		}
		l.content[r.Key] = r
	}
	l.maxKeys = max(l.maxKeys, len(l.content))
}

// advance notes the position and wakes those that wait; the caller holds the lock.
func (l *feedLog) advance(u heard, direct bool) {
	l.position = max(l.position, u.at)
	if u.known.After(l.known) {
		l.known = u.known
	}
	l.direct = direct
	l.notifyLocked()
}

// notify lets those that wait look again.
func (l *feedLog) notify() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifyLocked()
}

func (l *feedLog) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// lose notes that the store cannot be followed at present.
func (l *feedLog) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.direct = false
	l.notifyLocked()
}

// followed reports whether the feed is followed in the store itself.
func (l *feedLog) followed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.direct
}

// packed returns the compressed records of a part of the feed, and nothing when they are few.
func (l *feedLog) packed(part span, records []Record) ([]byte, error) {
	l.cacheMu.Lock()
	defer l.cacheMu.Unlock()
	return l.cache.get(part, records)
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
	return l.position, l.known
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
	v := view{heard: heard{at: l.position, known: l.known}, whole: true, direct: l.direct, changed: l.changed}
	for _, r := range l.content {
		v.records = append(v.records, r)
	}
	return v
}

// coversLocked reports whether the history tells all that is different now from what was known at a position; the caller holds the lock.
func (l *feedLog) coversLocked(after follow.Position) bool {
	if after < l.floor || after.Era() > l.position.Era() {
		return false
	}
	return !slices.ContainsFunc(l.gaps, func(g gap) bool { return g.from < after && after < g.to })
}

// since returns the changes after a position.
func (l *feedLog) since(after follow.Position) view {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := view{heard: heard{at: l.position, known: l.known}, whole: l.coversLocked(after), direct: l.direct, changed: l.changed}
	for _, r := range l.history {
		if r.Revision > after {
			v.records = append(v.records, r)
		}
	}
	return v
}
