package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"junctioncross/metrics"
	"junctioncross/timer"
)

const (
	// recordTTL is how long a record lasts unless it is renewed, so that an instance which died still counts for that long.
	// Counting too many is safe, since shared limits are divided by the count, and a long TTL needs few calls.
	recordTTL = 60 * time.Second
	// emptyFleetDelay is how long an instance of full power that finds no records waits before it joins. Instances that start
	// together with it have read the records by then and found none either; otherwise some would take the first few records for
	// the whole fleet and read the store directly, as a fleet too small for relays does. Weaker instances wait longer, up to
	// maxEmptyFleetDelay, so that the strongest, which can serve as relays, register first.
	emptyFleetDelay    = 300 * time.Millisecond
	maxEmptyFleetDelay = 1500 * time.Millisecond
	// startJitter bounds the random delay that spreads the registrations of instances that start together.
	startJitter = 700 * time.Millisecond
	// joinSettleDelay is the delay between joining and the next read of the records; all instances that started together have
	// joined by then.
	joinSettleDelay = time.Second
	// recountDelay is the delay before the records are read once more after a read that found the same number of instances as
	// the one before. By then even the slowest of the instances that started together have registered.
	recountDelay = 2500 * time.Millisecond
	// replacedAfter is how long an instance's record must be missing from the list before it counts as replaced; the list may
	// be some seconds old.
	replacedAfter = 5 * time.Second
	// slotTakenDelay bounds the delay after a slot turned out to be taken; half of it is random.
	slotTakenDelay = time.Second
	// missingKeyDelay is the delay between reads while the fleet key is missing; without it no instance can poll another one.
	missingKeyDelay = 300 * time.Millisecond
	// unknownCountDelay is the delay between reads of an instance that has a record, while the relays do not know the number of
	// instances or have just found another number.
	unknownCountDelay = time.Second
	// countInterval is how often the records are read and the own record is renewed.
	countInterval = 15 * time.Second
	// renewRetryDelay is the delay after a failed renewal; a record outlasts many of them.
	renewRetryDelay = 5 * time.Second
	// retryDelay is the delay after any other failed call.
	retryDelay = 2 * time.Second
	// firstCountRetryDelay bounds the delay after a failed first read; half of it is random. Until a read succeeds, the
	// instance knows no relay and no key to authenticate with, and reads all feeds from the store, which costs more than
	// reading the records.
	firstCountRetryDelay = 500 * time.Millisecond
	// firstCountSpread is added to emptyFleetDelay after a failed first read: once the store answers again, the first reads that
	// succeed are spread over as much as the timeout of a call.
	firstCountSpread = callTimeout
	// callTimeout bounds one call to the registry.
	callTimeout = time.Second
	// AssumedInstances is the number of instances that is assumed until they are counted. It is twice the size of the largest
	// fleet, so that each instance's share of a shared limit is safe.
	AssumedInstances = 2000
)

// Errors of a registry.
var (
	// ErrExpired means that the record of an instance has expired.
	ErrExpired = errors.New("membership: record has expired")
	// ErrTaken means that another instance has written to the slot in the meantime.
	ErrTaken = errors.New("membership: slot is taken")
)

// Instance is what an instance publishes about itself.
type Instance struct {
	// Name is unique among the instances.
	Name string
	// Domain is the failure domain of the instance.
	Domain string
	// Addr is the IP address and UDP port for calls of other instances; it is empty if there are none.
	Addr string
	// Power is the instance's processor power relative to other instances.
	Power float64
}

// Snapshot is a snapshot of the registration records: what one read of them returned.
type Snapshot struct {
	Records []Record
	// Key is the fleet key, by which instances authenticate to each other; it is empty before the first instance has written
	// one.
	Key []byte
	// Era is the number of times that the store had lost writes when the records were read.
	Era int64
}

// Registry stores the registration records of the instances.
type Registry interface {
	// Join writes a record that expires after ttl to a slot of the instance's domain and returns the lease that the record is
	// bound to; it returns ErrTaken if the slot has changed in the meantime.
	Join(ctx context.Context, self Instance, slot Slot, ttl time.Duration) (lease int64, err error)
	// Renew extends the record by another ttl; it returns ErrExpired if it has expired.
	Renew(ctx context.Context, lease int64) error
	// List returns the records and the fleet key; they may be some seconds old.
	List(ctx context.Context) (Snapshot, error)
	// EnsureKey writes the fleet key unless there is one, and returns the stored key.
	EnsureKey(ctx context.Context, key []byte) ([]byte, error)
}

// Membership counts the instances of the fleet and maintains the registration record of its own instance.
type Membership struct {
	*View
	registry Registry
	self     Instance
	clock    *timer.Service
	stats    *metrics.Registry
	log      *logrus.Logger
	newKey   func() ([]byte, error)
	// snapshot is the result of the last read.
	snapshot Snapshot
	lease    int64
	// renewedAt is when the record was last written or renewed for its full TTL.
	renewedAt time.Time
	// count is the number of instances that the last read found; sameCounts is the number of earlier reads in a row that found
	// the same number.
	count, sameCounts int
	// missingSince is when the own record went missing from the list; zero while it is listed.
	missingSince time.Time
}

// New returns a Membership and starts it: it publishes what it reads to the view, and stops when ctx ends. NewKey generates a
// key for a fleet that has none.
func New(
	ctx context.Context, view *View, registry Registry, self Instance, newKey func() ([]byte, error), clock *timer.Service,
	stats *metrics.Registry, log *logrus.Logger,
) *Membership {
	m := &Membership{View: view, registry: registry, self: self, newKey: newKey, clock: clock, stats: stats, log: log}
	go func() {
		m.startUp(ctx)
		for ctx.Err() == nil {
			clock.Sleep(ctx, m.step(ctx))
		}
	}()
	return m
}

// startUp reads the records. An instance that joins a running fleet knows at once which instances to poll. Among instances
// that find no records the strongest register first, and the others read once more before they do.
func (m *Membership) startUp(ctx context.Context) {
	failed := false
	for !m.refresh(ctx) && m.clock.Sleep(ctx, halfJitter(firstCountRetryDelay)) {
		failed = true
	}
	m.adoptRecord()
	alone := len(m.Members()) == 0
	if alone {
		m.clock.Sleep(ctx, emptyFleetDelayOf(m.self.Power))
	}
	if alone && failed {
		m.clock.Sleep(ctx, firstCountSpread)
	}
	m.clock.Sleep(ctx, time.Duration(rand.Float64()*float64(startJitter)))
	if !alone || !m.list(ctx) {
		return
	}
	if _, joins := m.chooseSlot(); !joins {
		m.publish()
	}
}

// halfJitter returns a random delay between half of limit and limit, so that instances that failed together do not retry
// together.
func halfJitter(limit time.Duration) time.Duration {
	return limit/2 + time.Duration(rand.Float64()*float64(limit/2))
}

// emptyFleetDelayOf returns how long an instance of the given power that finds no records waits before it joins.
func emptyFleetDelayOf(power float64) time.Duration {
	if power <= 0 {
		return maxEmptyFleetDelay
	}
	return min(time.Duration(float64(emptyFleetDelay)/min(power, 1)), maxEmptyFleetDelay)
}

// adoptRecord takes over the record that an earlier process of this instance has left, if its content is the same. Renewing
// a record costs a twentieth of the calls that writing a new one does, for each instance that restarts.
func (m *Membership) adoptRecord() {
	for _, r := range m.snapshot.Records {
		if r.Instance == m.self {
			m.lease = r.Lease
		}
	}
}

// step joins, renews the record or reads the records, and returns the delay until the next step.
func (m *Membership) step(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if m.lease == 0 {
		if slot, ok := m.chooseSlot(); ok {
			return m.join(ctx, slot)
		}
	}
	if m.lease != 0 && m.clock.Since(m.renewedAt) >= countInterval {
		if delay, ok := m.renew(ctx); !ok {
			return delay
		}
	}
	switch {
	case !m.refresh(ctx):
		return retryDelay
	case len(m.Key()) == 0:
		return missingKeyDelay
	}
	if m.trackCount(); m.lease == 0 {
		// Without the jitter many instances without a record would read at the same moment.
		return halfJitter(m.nextReadDelayWithoutRecord())
	}
	return m.nextReadDelay()
}

// trackCount updates the number of reads in a row that have found the same number of instances.
func (m *Membership) trackCount() {
	if n := m.Instances(); n != m.count {
		m.count, m.sameCounts = n, 0
		return
	}
	m.sameCounts++
}

// nextReadDelay returns the delay until an instance with a record reads again. Shared limits are divided by the number of
// instances, so that a number that was read while others were still joining must soon be corrected.
func (m *Membership) nextReadDelay() time.Duration {
	switch {
	case m.sameCounts == 0 && m.count == AssumedInstances, m.sameCounts == 1 && m.count != AssumedInstances:
		return recountDelay
	case m.sameCounts == 0, m.count == AssumedInstances:
		return unknownCountDelay
	default:
		return countInterval
	}
}

// nextReadDelayWithoutRecord returns the longest delay until an instance without a record reads again. While the number
// of instances changes or is unknown, its list may lack the relay of its domain, so that no relay counts the instance.
func (m *Membership) nextReadDelayWithoutRecord() time.Duration {
	if m.sameCounts == 0 || m.count == AssumedInstances {
		return recountDelay
	}
	return countInterval
}

func (m *Membership) join(ctx context.Context, slot Slot) time.Duration {
	lease, err := m.registry.Join(ctx, m.self, slot, recordTTL)
	switch {
	case errors.Is(err, ErrTaken):
		m.stats.Counter("records_taken_total").Inc(1)
		m.list(ctx)
		return halfJitter(slotTakenDelay)
	case err != nil:
		m.log.WithError(err).Warn("record of the instance not written")
		return retryDelay
	}
	m.lease, m.renewedAt, m.missingSince = lease, m.clock.Now(), time.Time{}
	m.ensureKey(ctx)
	return joinSettleDelay
}

// renew renews the record; if that fails, it returns the delay until the next step and false.
func (m *Membership) renew(ctx context.Context) (time.Duration, bool) {
	err := m.registry.Renew(ctx, m.lease)
	switch {
	case errors.Is(err, ErrExpired):
		m.lease = 0
		m.log.Warn("record of the instance has ended")
		return 0, false
	case err != nil:
		m.log.WithError(err).Warn("record of the instance not renewed")
		return renewRetryDelay, false
	}
	m.renewedAt = m.clock.Now()
	return 0, true
}

// chooseSlot returns the slot to write the own record to, and false if this instance needs no record.
func (m *Membership) chooseSlot() (Slot, bool) {
	return chooseSlot(m.snapshot.Records, m.self, m.relayThreshold, rand.IntN)
}

// refresh reads the records, publishes them, and reports whether that succeeded.
func (m *Membership) refresh(ctx context.Context) bool {
	if !m.list(ctx) {
		return false
	}
	m.publish()
	if len(m.snapshot.Key) == 0 {
		m.ensureKey(ctx)
	}
	return true
}

// list reads the records and reports whether that succeeded.
func (m *Membership) list(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := m.registry.List(ctx)
	if err != nil {
		m.log.WithError(err).Warn("instances not counted")
		return false
	}
	if len(snapshot.Key) == 0 {
		snapshot.Key = m.snapshot.Key
	}
	if len(snapshot.Records) == 0 && m.lease != 0 {
		// The list may be older than the own record.
		snapshot.Records = []Record{{Instance: m.self, Lease: m.lease}}
	}
	m.snapshot = snapshot
	m.setEmpty(len(snapshot.Records) == 0)
	m.checkReplaced(snapshot.Records)
	return true
}

// publish updates the view from the last snapshot. Instances that start together must not publish the first few records,
// which look like the whole of a small fleet.
func (m *Membership) publish() {
	snapshot := m.snapshot
	before, after := m.setSnapshot(&snapshot)
	m.stats.Gauge("instances_counted").Update(int64(m.Instances()))
	m.stats.Gauge("instances_with_records").Update(int64(after))
	if before != after {
		m.log.WithFields(logrus.Fields{"instances": after, "before": before}).Info("instances counted")
	}
}

// checkReplaced abandons the own record once it has been missing from the list for replacedAfter, since another instance has
// then replaced it.
func (m *Membership) checkReplaced(records []Record) {
	listed := m.lease == 0 || slices.ContainsFunc(records, func(r Record) bool { return r.Name == m.self.Name })
	switch now := m.clock.Now(); {
	case listed:
		m.missingSince = time.Time{}
	case m.missingSince.IsZero():
		m.missingSince = now
	case now.Sub(m.missingSince) >= replacedAfter:
		m.lease, m.missingSince = 0, time.Time{}
		m.log.Warn("record of the instance was replaced")
	}
}

// ensureKey creates the fleet key if there is none and this instance has the lowest name of those with a record; the other
// instances find the key at their next read.
func (m *Membership) ensureKey(ctx context.Context) {
	if len(m.snapshot.Key) > 0 || m.lease == 0 {
		return
	}
	for _, r := range m.snapshot.Records {
		if r.Name < m.self.Name {
			return
		}
	}
	key, err := m.newKey()
	if err == nil {
		key, err = m.registry.EnsureKey(ctx, key)
	}
	if err != nil {
		m.log.WithError(err).Warn("the fleet's key not written")
		return
	}
	m.snapshot.Key = key
	m.setKey(key)
}
