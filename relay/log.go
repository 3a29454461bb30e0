package relay

import (
	"sync"
	"time"

	"junctioncross/follow"
)

// mostHistory bounds the changes that are kept for instances that ask for them; one that is further behind reads the store.
const mostHistory = 1024

// feedLog keeps the latest changes of one feed for other instances.
type feedLog struct {
	mu      sync.Mutex
	at      follow.Position
	history []Record
	// floor is the position after which the history is whole.
	floor follow.Position
	// known is the moment up to which nothing but the history has changed.
	known time.Time
	// direct is true while the feed is followed in the store itself.
	direct bool
	// whole holds the feed's present content, by key.
	whole map[string]Record
	// changed is closed at the next news.
	changed chan struct{}
}

func newFeedLog() *feedLog { return &feedLog{changed: make(chan struct{}), whole: map[string]Record{}} }

// restart forgets the history, after the whole feed was read.
func (l *feedLog) restart(h heard, direct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = nil
	l.floor = h.at
	l.whole = map[string]Record{}
	l.put(h.records)
	l.take(h, direct)
}

// extend adds what was heard.
func (l *feedLog) extend(h heard, direct bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, h.records...)
	l.put(h.records)
	if over := len(l.history) - mostHistory; over > 0 {
		l.floor = l.history[over-1].Revision
		l.history = append([]Record(nil), l.history[over:]...)
	}
	l.take(h, direct)
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
}

// take notes the position and wakes those that wait; the caller holds the lock.
func (l *feedLog) take(h heard, direct bool) {
	l.at = max(l.at, h.at)
	if h.known.After(l.known) {
		l.known = h.known
	}
	l.direct = direct
	close(l.changed)
	l.changed = make(chan struct{})
}

// lose notes that the store cannot be followed at present.
func (l *feedLog) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.direct = false
	close(l.changed)
	l.changed = make(chan struct{})
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

// since returns the changes after a position.
func (l *feedLog) since(after follow.Position) view {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := view{heard: heard{at: l.at, known: l.known}, whole: after >= l.floor, direct: l.direct, changed: l.changed}
	for _, r := range l.history {
		if r.Revision > after {
			v.records = append(v.records, r)
		}
	}
	return v
}
