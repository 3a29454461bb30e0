package relay

import (
	"bytes"
	"slices"
	"sort"
	"sync"
	"time"

	"junctioncross/follow"
)

// The history keeps at least minHistory changes, and at least historyFactor times as many as the feed has held keys. The
// latter covers a change of the whole feed, as after an outage of the store in which the entries of all servers have
// expired. It holds at most maxHistoryBytes in any case: a record may be a whole configuration, and those who are behind the history read the
// content, which is not larger than one.
const (
	minHistory      = 1024
	historyFactor   = 2
	maxHistoryBytes = 16 << 20
)

// feedLog keeps the content and the latest changes of one feed, to pass them on to other instances.
type feedLog struct {
	mu       sync.Mutex
	position follow.Position
	history  []Record
	// historyBytes is what the history takes, in bytes.
	historyBytes int
	// floor is the position after which the history holds all changes, except those in gaps.
	floor follow.Position
	// gaps are the parts of the history of which only the net changes are known.
	gaps []gap
	// known is the time up to which the content is known to be current.
	known time.Time
	// direct is true while this instance follows the feed in the store itself.
	direct bool
	// content holds the feed's current content, by key.
	content map[string]Record
	// maxKeys is the largest number of keys that the feed has held.
	maxKeys int
	// changed is closed and replaced at the next update.
	changed chan struct{}

	cacheMu sync.Mutex
	cache   compressedCache
}

func newFeedLog() *feedLog {
	return &feedLog{changed: make(chan struct{}), content: map[string]Record{}}
}

// reset takes over the result of a full read of the feed. Its differences from the former content are added to the
// history, so that other instances need not read the whole feed from the store after the store has dropped its own history.
func (l *feedLog) reset(u update, direct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.position == 0 {
		l.floor = u.position
		l.apply(u.records)
		l.advance(u, direct)
		return
	}
	out := l.diffLocked(u)
	l.addGap(u.position)
	l.appendLocked(out)
	l.advance(u, direct)
}

// gap spans the positions between an update and a later full read of the feed. A key that was added and removed in between
// appears in no record, so that an instance which learned of it elsewhere would keep it.
type gap struct{ from, to follow.Position }

// maxGaps bounds the number of gaps that are kept.
const maxGaps = 64

// addGap notes that the history from the present position up to another holds only net changes; the caller holds the lock.
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

// diffLocked returns the changes that lead from the present content to that of a full read; the caller holds the lock.
func (l *feedLog) diffLocked(u update) []Record {
	var out []Record
	listed := make(map[string]bool, len(u.records))
	for _, r := range u.records {
		listed[r.Key] = true
		held, known := l.content[r.Key]
		if known && r.Revision.Era() != held.Revision.Era() && bytes.Equal(r.Value, held.Value) {
			// A store that has lost writes gives unchanged content new positions.
			continue
		}
		if r.Revision.Era() != u.position.Era() && !bytes.Equal(r.Value, held.Value) {
			// The instance that passed this record on has held it since before the loss, while the value that is held here was lost.
			r.Revision = u.position
		}
		if r.Revision > held.Revision {
			out = append(out, r)
		}
	}
	for key := range l.content {
		if !listed[key] {
			// When the key was removed is unknown, but it was no later than the full read.
			out = append(out, Record{Key: key, Revision: u.position, Gone: true})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Revision < out[j].Revision })
	return out
}

// diff returns the changes that lead from the present content to that of a full read.
func (l *feedLog) diff(u update) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.diffLocked(u)
}

// append adds an update.
func (l *feedLog) append(u update, direct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.hasGap || u.position.Era() != l.position.Era() {
		l.addGap(u.position)
	}
	l.appendLocked(u.records)
	l.advance(u, direct)
}

// appendLocked adds changes to the history and applies them to the content; the caller holds the lock.
func (l *feedLog) appendLocked(records []Record) {
	l.history = append(l.history, records...)
	for i := range records {
		l.historyBytes += records[i].size()
	}
	l.apply(records)
	l.trimLocked()
}

// trimLocked drops the oldest changes beyond what the history may hold; the caller holds the lock.
func (l *feedLog) trimLocked() {
	over := max(len(l.history)-max(minHistory, historyFactor*l.maxKeys), 0)
	for i := range l.history {
		if i >= over && l.historyBytes <= maxHistoryBytes {
			break
		}
		l.historyBytes -= l.history[i].size()
		over = max(over, i+1)
	}
	if over == 0 {
		return
	}
	l.floor = l.history[over-1].Revision
	l.history = append([]Record(nil), l.history[over:]...)
}

// apply applies changes to the content; the caller holds the lock.
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

// advance updates the position and wakes the waiting polls; the caller holds the lock.
func (l *feedLog) advance(u update, direct bool) {
	l.position = max(l.position, u.position)
	if u.known.After(l.known) {
		l.known = u.known
	}
	l.direct = direct
	l.notifyLocked()
}

// notify wakes the waiting polls, which check again whether they can be answered.
func (l *feedLog) notify() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notifyLocked()
}

func (l *feedLog) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// clearDirect notes that this instance does not follow the feed in the store at present.
func (l *feedLog) clearDirect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.direct = false
	l.notifyLocked()
}

// isDirect reports whether this instance follows the feed in the store itself.
func (l *feedLog) isDirect() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.direct
}

// compressed returns the compressed records of a span of the feed; it returns nil if they are too small to be worth compressing.
func (l *feedLog) compressed(part span, records []Record) ([]byte, error) {
	l.cacheMu.Lock()
	defer l.cacheMu.Unlock()
	return l.cache.get(part, records)
}

// nextChange returns a channel that is closed at the next update.
func (l *feedLog) nextChange() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// progress returns the position up to which the feed is known, and the time up to which that is known to be current.
func (l *feedLog) progress() (at follow.Position, known time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.position, l.known
}

// view is the content or the changes of a feedLog at one moment.
type view struct {
	update
	// complete is false if changes after the requested position are missing.
	complete bool
	direct   bool
	changed  <-chan struct{}
}

// all returns the full content.
func (l *feedLog) all() view {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := view{update: update{position: l.position, known: l.known}, complete: true, direct: l.direct, changed: l.changed}
	for _, r := range l.content {
		v.records = append(v.records, r)
	}
	return v
}

// coversLocked reports whether the history holds all differences between the content at a position and the present one; the
// caller holds the lock.
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
	v := view{update: update{position: l.position, known: l.known}, complete: l.coversLocked(after), direct: l.direct, changed: l.changed}
	for _, r := range l.history {
		if r.Revision > after {
			v.records = append(v.records, r)
		}
	}
	return v
}
