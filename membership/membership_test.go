package membership_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"junctioncross/membership"
	"junctioncross/metrics"
	"junctioncross/timer"
)

const (
	timeout = 30 * time.Second
	// relayThreshold is the number of records from which a fleet uses relays; in a smaller fleet every instance has a record.
	relayThreshold = 24
)

// fakeRegistry is a membership.Registry in memory.
type fakeRegistry struct {
	mu          sync.Mutex
	members     map[int64]membership.Instance
	key         []byte
	next        int64
	keysWritten int
	down        bool
	renewed     map[int64]int
	// slots holds the slot of each record by lease; the lease of a record is also its revision.
	slots map[int64]int
}

// renewals returns how often a record was renewed.
func (r *fakeRegistry) renewals(lease int64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.renewed[lease]
}

// newest returns the lease of the newest record.
func (r *fakeRegistry) newest() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// Join implements membership.Registry.
func (r *fakeRegistry) Join(_ context.Context, self membership.Instance, slot membership.Slot, _ time.Duration) (int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var there int64
	for lease, m := range r.members {
		if m.Domain == self.Domain && r.slots[lease] == slot.Number {
			there = lease
		}
	}
	if there != slot.Revision {
		return 0, membership.ErrTaken
	}
	delete(r.members, there)
	r.next++
	r.members[r.next] = self
	if r.slots == nil {
		r.slots = map[int64]int{}
	}
	r.slots[r.next] = slot.Number
	return r.next, nil
}

// Renew implements membership.Registry.
func (r *fakeRegistry) Renew(_ context.Context, lease int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.members[lease]; !ok {
		return membership.ErrExpired
	}
	if r.renewed == nil {
		r.renewed = map[int64]int{}
	}
	r.renewed[lease]++
	return nil
}

// List implements membership.Registry.
func (r *fakeRegistry) List(context.Context) (membership.Snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return membership.Snapshot{}, errors.New("down")
	}
	snapshot := membership.Snapshot{Key: r.key}
	for lease, m := range r.members {
		slot := membership.Slot{Number: r.slots[lease], Revision: lease}
		snapshot.Records = append(snapshot.Records, membership.Record{Instance: m, Slot: slot, Lease: lease})
	}
	return snapshot, nil
}

// EnsureKey implements membership.Registry.
func (r *fakeRegistry) EnsureKey(_ context.Context, key []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.key == nil {
		r.key = key
		r.keysWritten++
	}
	return r.key, nil
}

func start(t *testing.T, r *fakeRegistry, n int) []*membership.Membership {
	return startAt(t, r, n, timer.NewReal())
}

func startAt(t *testing.T, r *fakeRegistry, n int, clock *timer.Service) []*membership.Membership {
	log := logrus.New()
	log.SetOutput(io.Discard)
	out := make([]*membership.Membership, n)
	for i := range out {
		self := membership.Instance{Name: fmt.Sprint("i-", i), Domain: "east", Addr: fmt.Sprint("addr-", i)}
		newKey := func() ([]byte, error) { return []byte(self.Name), nil }
		out[i] = membership.New(t.Context(), membership.NewView(relayThreshold), r, self, newKey, clock, metrics.New(), log)
	}
	return out
}

func TestInstancesAgreeOnCountAndFleetKey(t *testing.T) {
	r := &fakeRegistry{members: map[int64]membership.Instance{}}
	all := start(t, r, 4)
	require.Equal(t, membership.AssumedInstances, all[0].Instances(), "no instance may assume that it is alone before its first read")
	for _, c := range all {
		require.Eventually(t, func() bool { return c.Instances() == 4 && len(c.Key()) > 0 }, timeout, 20*time.Millisecond)
		require.Equal(t, all[0].Key(), c.Key())
	}
	require.Equal(t, 1, r.keysWritten)
}

func TestLateInstanceKnowsTheOthersAtOnce(t *testing.T) {
	r := &fakeRegistry{members: map[int64]membership.Instance{1: {Name: "old"}, 2: {Name: "older"}}, next: 2, key: []byte("k")}
	late := start(t, r, 1)[0]
	require.Eventually(t, func() bool { return len(late.Members()) >= 2 && string(late.Key()) == "k" }, timeout, time.Millisecond)
}

// TestInstanceStartedDuringAnOutageReadsTheRecordsSoonAfterIt starts an instance while the store is down, as when the whole
// fleet restarts during an outage. Relays refuse each other until they know the fleet key, so that an instance that delays
// its next read for seconds polls the store instead, as all others do.
func TestInstanceStartedDuringAnOutageReadsTheRecordsSoonAfterIt(t *testing.T) {
	const (
		outage = 11 * time.Second
		soon   = time.Second
		step   = 10 * time.Millisecond
	)
	r := &fakeRegistry{members: map[int64]membership.Instance{1: {Name: "old"}}, next: 1, key: []byte("k"), down: true}
	fake := clockwork.NewFakeClock()
	one := startAt(t, r, 1, timer.New(fake))[0]
	pass := func(d time.Duration) {
		for ; d > 0; d -= step {
			require.NoError(t, fake.BlockUntilContext(t.Context(), 1))
			fake.Advance(step)
		}
		require.NoError(t, fake.BlockUntilContext(t.Context(), 1))
	}
	pass(outage)
	require.Empty(t, one.Members())
	r.mu.Lock()
	r.down = false
	r.mu.Unlock()
	pass(soon)
	require.NotEmpty(t, one.Members())
	require.Equal(t, "k", string(one.Key()))
}

// TestTheFirstToReadAfterAnOutageJoinsAfterTheOthersHaveRead starts an instance of full power in a fleet without records while the
// store is down. The reads of the others that failed together with its own may end by a timeout of a call later, and one that then
// found the first few records would take them for the whole fleet, and read all feeds from the store.
func TestTheFirstToReadAfterAnOutageJoinsAfterTheOthersHaveRead(t *testing.T) {
	const (
		outage    = 3 * time.Second
		otherRead = time.Second
		joined    = 3 * time.Second
		step      = 10 * time.Millisecond
	)
	r := &fakeRegistry{members: map[int64]membership.Instance{}, down: true}
	fake := clockwork.NewFakeClock()
	clock := timer.New(fake)
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := membership.Instance{Name: "i-0", Domain: "east", Addr: "addr-0", Power: 1}
	newKey := func() ([]byte, error) { return []byte("k"), nil }
	one := membership.New(t.Context(), membership.NewView(relayThreshold), r, self, newKey, clock, metrics.New(), log)
	pass := func(limit time.Duration, until func() bool) {
		for ; limit > 0 && !until(); limit -= step {
			require.NoError(t, fake.BlockUntilContext(t.Context(), 1))
			fake.Advance(step)
			require.NoError(t, fake.BlockUntilContext(t.Context(), 1))
		}
	}
	hasJoined := func() bool { return r.newest() > 0 }
	pass(outage, func() bool { return false })
	r.mu.Lock()
	r.down = false
	r.mu.Unlock()
	pass(outage, one.Empty)
	require.True(t, one.Empty())
	pass(otherRead, hasJoined)
	require.False(t, hasJoined(), "the others may not have read yet")
	pass(joined, hasJoined)
	require.True(t, hasJoined())
}

// TestRestartedInstanceKeepsItsRecord restarts an instance before its record has expired, as happens when the whole fleet
// restarts: writing a new record costs twenty times the calls of renewing the old one.
func TestRestartedInstanceKeepsItsRecord(t *testing.T) {
	r := &fakeRegistry{members: map[int64]membership.Instance{7: {Name: "i-0", Domain: "east", Addr: "addr-0"}}, next: 7, key: []byte("k")}
	start(t, r, 1)
	require.Eventually(t, func() bool { return r.renewals(7) > 0 }, timeout, time.Millisecond)
	require.Equal(t, int64(7), r.newest())
}

// TestInstanceAtANewAddressWritesANewRecord starts an instance whose record holds an address that is no longer its own.
func TestInstanceAtANewAddressWritesANewRecord(t *testing.T) {
	r := &fakeRegistry{members: map[int64]membership.Instance{7: {Name: "i-0", Domain: "east", Addr: "former"}}, next: 7, key: []byte("k")}
	start(t, r, 1)
	require.Eventually(t, func() bool { return r.newest() == 8 }, timeout, time.Millisecond)
	require.Zero(t, r.renewals(7))
}

// TestInstancesStartingTogetherDoNotPublishTheFirstRecords starts 40 instances together without any records. An instance
// that knew only the first few records would take the fleet for one too small for relays.
func TestInstancesStartingTogetherDoNotPublishTheFirstRecords(t *testing.T) {
	const fleet = 40
	r := &fakeRegistry{members: map[int64]membership.Instance{}}
	for _, c := range start(t, r, fleet) {
		require.Eventually(t, func() bool { return len(c.Members()) > 0 }, timeout, time.Millisecond)
		require.GreaterOrEqual(t, len(c.Members()), relayThreshold)
	}
}

// TestEveryInstanceOfAFleetBelowTheRelayThresholdIsCounted starts the largest fleet in which every instance has a record.
func TestEveryInstanceOfAFleetBelowTheRelayThresholdIsCounted(t *testing.T) {
	r := &fakeRegistry{members: map[int64]membership.Instance{}}
	for _, c := range start(t, r, relayThreshold-1) {
		require.Eventually(t, func() bool { return len(c.Members()) == relayThreshold-1 && c.Instances() == relayThreshold-1 }, timeout, time.Millisecond)
	}
}
