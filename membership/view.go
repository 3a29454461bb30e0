package membership

import (
	"maps"
	"slices"
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
	// countFaults holds, by domain, counts that can't be true, until they are logged.
	countFaults map[string]fault
}

// NewView returns an empty view. Fleets with fewer than relayThreshold records use no relays, and every instance has a
// record.
func NewView(relayThreshold int) *View {
	v := &View{relayThreshold: relayThreshold, counts: map[string]int{}, countFaults: map[string]fault{}, changed: make(chan struct{})}
	v.setSnapshot(&Snapshot{})
	return v
}

// setSnapshot replaces the snapshot and returns the number of records before and after.
func (v *View) setSnapshot(snapshot *Snapshot) (before, after int) {
	members := make([]Instance, len(snapshot.Records))
	for i, r := range snapshot.Records {
		members[i] = r.Instance
	}
	v.members.Store(&members)
	if old := v.snapshot.Swap(snapshot); old != nil {
		before = len(old.Records)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.instances.Store(int64(v.totalLocked()))
	v.notifyLocked()
	return before, len(snapshot.Records)
}

// notify wakes the goroutines that wait on Changed.
func (v *View) notify() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notifyLocked()
}

// notifyLocked is notify for a caller that holds the lock.
func (v *View) notifyLocked() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the records have been read again, or when the fleet key or the result of
// Empty has changed.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// setEmpty notes whether the last successful read found no records.
func (v *View) setEmpty(empty bool) {
	if v.empty.Swap(empty) != empty {
		v.notify()
	}
}

// setKey stores the fleet key in the current snapshot.
func (v *View) setKey(key []byte) {
	snapshot := *v.snapshot.Load()
	snapshot.Key = key
	v.snapshot.Store(&snapshot)
	v.notify()
}

// Instances returns the number of instances. It is AssumedInstances before the first read of the records, and
// while the relay of a domain in which some instances may have no record has not counted its instances.
func (v *View) Instances() int { return int(v.instances.Load()) }

// totalLocked computes the number of instances; the caller holds the lock.
func (v *View) totalLocked() int {
	records := v.snapshot.Load().Records
	if len(records) == 0 {
		return AssumedInstances
	}
	total := 0
	for domain, n := range recordsByDomain(records) {
		if len(records) >= v.relayThreshold && n >= relayCandidates && v.counts[domain] == 0 {
			return AssumedInstances
		}
		total += max(n, v.counts[domain])
	}
	return total
}

// Empty reports whether the last successful read found no records.
func (v *View) Empty() bool { return v.empty.Load() }

// Counts returns the number of instances of each domain, as its relay has counted them.
func (v *View) Counts() map[string]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return maps.Clone(v.counts)
}

// NoteCounts stores newer counts by domain; counts of 0 are ignored, and those that can't be true are kept to be logged. The number of
// instances divides the limits that they share.
func (v *View) NoteCounts(counts map[string]int) {
	if len(counts) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for domain, n := range counts {
		f, bad := countFault(domain, n)
		switch {
		case bad:
			v.countFaults[domain] = f
		case n > 0:
			v.counts[domain] = n
		}
	}
	v.instances.Store(int64(v.totalLocked()))
}

// takeCountFaults returns the counts since the last call that can't be true, one for each domain.
func (v *View) takeCountFaults() []fault {
	v.mu.Lock()
	defer v.mu.Unlock()
	faults := slices.Collect(maps.Values(v.countFaults))
	clear(v.countFaults)
	return faults
}

// Members returns the instances that have records; it is empty before the first read. In a large fleet only some instances
// of each domain have one.
func (v *View) Members() []Instance { return *v.members.Load() }

// Records returns the records that were read last; the caller must not modify them.
func (v *View) Records() []Record { return v.snapshot.Load().Records }

// Key returns the fleet key, by which instances authenticate to each other; it is empty until it is known.
func (v *View) Key() []byte { return v.snapshot.Load().Key }
