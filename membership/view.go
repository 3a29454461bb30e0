package membership

import (
	"maps"
	"sync"
	"sync/atomic"
)

// View is this instance's view of the fleet: the registration records that were read last, and the number of instances that
// the relay of each domain has counted.
type View struct {
	// relayThreshold is the number of records from which a fleet uses relays; in a smaller fleet every instance has a record.
	relayThreshold int
	snapshot       atomic.Pointer[Snapshot]
	members        atomic.Pointer[[]Instance]
	empty          atomic.Bool
	// instances caches the number of instances, which every request and every poll of a relay needs.
	instances atomic.Int64

	mu sync.Mutex
	// changed is closed and replaced whenever a snapshot is published, the fleet key is stored or the result of Empty changes.
	changed chan struct{}
	// counts holds, by domain, the number of instances that the domain's relay has counted.
	counts map[string]int
}

// NewView returns an empty view. Fleets with fewer than relayThreshold records use no relays, and every instance has a
// record.
func NewView(relayThreshold int) *View {
	b := &View{relayThreshold: relayThreshold, counts: map[string]int{}, changed: make(chan struct{})}
	b.setSnapshot(&Snapshot{})
	return b
}

// setSnapshot replaces the snapshot and returns the number of records before and after.
func (b *View) setSnapshot(snapshot *Snapshot) (before, after int) {
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

// notify wakes the goroutines that wait on Changed.
func (b *View) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notifyLocked()
}

func (b *View) notifyLocked() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the records have been read again, or when the fleet key or the result of
// Empty has changed.
func (b *View) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// setEmpty notes whether the last successful read found no records.
func (b *View) setEmpty(empty bool) {
	if b.empty.Swap(empty) != empty {
		b.notify()
	}
}

// setKey stores the fleet key in the current snapshot.
func (b *View) setKey(key []byte) {
	snapshot := *b.snapshot.Load()
	snapshot.Key = key
	b.snapshot.Store(&snapshot)
	b.notify()
}

// Instances returns the number of instances. It is AssumedInstances before the first read of the records, and
// while the relay of a domain in which some instances may have no record has not counted its instances.
func (b *View) Instances() int { return int(b.instances.Load()) }

// totalLocked computes the number of instances; the caller holds the lock.
func (b *View) totalLocked() int {
	records := b.snapshot.Load().Records
	if len(records) == 0 {
		return AssumedInstances
	}
	total := 0
	for domain, n := range recordsByDomain(records) {
		if len(records) >= b.relayThreshold && n >= relayCandidates && b.counts[domain] == 0 {
			return AssumedInstances
		}
		total += max(n, b.counts[domain])
	}
	return total
}

// Empty reports whether the last successful read found no records.
func (b *View) Empty() bool { return b.empty.Load() }

// Counts returns the number of instances of each domain, as its relay has counted them.
func (b *View) Counts() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.counts)
}

// NoteCounts stores newer counts by domain; counts of 0 are ignored.
func (b *View) NoteCounts(counts map[string]int) {
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

// Members returns the instances that have records; it is empty before the first read. In a large fleet only some instances
// of each domain have one.
func (b *View) Members() []Instance { return *b.members.Load() }

// Records returns the records that were read last; the caller must not modify them.
func (b *View) Records() []Record { return b.snapshot.Load().Records }

// Key returns the fleet key, by which instances authenticate to each other; it is empty until it is known.
func (b *View) Key() []byte { return b.snapshot.Load().Key }
