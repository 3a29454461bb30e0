package census

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Board shows what the records told last, and how many instances the relays of the domains have counted.
type Board struct {
	// relayThreshold is the number of records up to which every instance has one.
	relayThreshold int
	snapshot       atomic.Pointer[Roll]
	members        atomic.Pointer[[]Instance]
	empty          atomic.Bool
	// instances is the number of instances: each request and each question to a relay asks for it.
	instances atomic.Int64

	mu sync.Mutex
	// changed is closed when the records or the key change.
	changed chan struct{}
	// counts holds the number of instances of each domain as its relay counts them.
	counts map[string]int
}

// NewBoard returns a Board on which nobody is counted yet; in a fleet of fewer than whole every instance has a record.
func NewBoard(relayThreshold int) *Board {
	b := &Board{relayThreshold: relayThreshold, counts: map[string]int{}, changed: make(chan struct{})}
	b.setSnapshot(&Roll{})
	return b
}

// setSnapshot replaces the roll and returns the number of records before and now.
func (b *Board) setSnapshot(snapshot *Roll) (before, after int) {
	members := make([]Instance, len(snapshot.Records))
	for i, r := range snapshot.Records {
		members[i] = r.Instance
	}
	b.members.Store(&members)
	if old := b.snapshot.Swap(snapshot); old != nil {
		before = len(old.Records)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances.Store(int64(b.totalLocked()))
	b.notifyLocked()
	return before, len(snapshot.Records)
}

// notify tells those that wait for a change.
func (b *Board) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notifyLocked()
}

func (b *Board) notifyLocked() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Changed returns what is closed when the records or the key change.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// setEmpty keeps whether the records were read and there were none.
func (b *Board) setEmpty(empty bool) {
	if b.empty.Swap(empty) != empty {
		b.notify()
	}
}

// setKey adds the fleet's key to what is shown.
func (b *Board) setKey(key []byte) {
	snapshot := *b.snapshot.Load()
	snapshot.Key = key
	b.snapshot.Store(&snapshot)
	b.notify()
}

// Instances returns the number of instances; it is Unknown before the first count, and while a domain that not all instances of have records
// is not counted.
func (b *Board) Instances() int { return int(b.instances.Load()) }

// totalLocked works out the number of instances; the caller holds the lock.
func (b *Board) totalLocked() int {
	records := b.snapshot.Load().Records
	if len(records) == 0 {
		return Unknown
	}
	total := 0
	for domain, n := range recordsByDomain(records) {
		if len(records) >= b.relayThreshold && n >= relayCandidates && b.counts[domain] == 0 {
			return Unknown
		}
		total += max(n, b.counts[domain])
	}
	return total
}

// Empty reports whether the records were read and there were none.
func (b *Board) Empty() bool { return b.empty.Load() }

// Counts returns the numbers of instances that the relays of the domains have counted.
func (b *Board) Counts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.counts)
}

// NoteCounts keeps newer numbers.
func (b *Board) NoteCounts(counts map[string]int) {
	if len(counts) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for domain, n := range counts {
		if n > 0 {
			b.counts[domain] = n
		}
	}
	b.instances.Store(int64(b.totalLocked()))
}

// Members returns the instances that had records last; it is empty before the first count. In a large fleet they are some of each domain.
func (b *Board) Members() []Instance { return *b.members.Load() }

// Records returns the records that were read last; the caller does not change them.
func (b *Board) Records() []Record { return b.snapshot.Load().Records }

// Key returns what the instances prove themselves with to each other; it is empty while it is not known.
func (b *Board) Key() []byte { return b.snapshot.Load().Key }
