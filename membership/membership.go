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
	c := &Membership{View: view, registry: registry, self: self, newKey: newKey, clock: clock, stats: stats, log: log}
	go func() {
		c.startUp(ctx)
		for ctx.Err() == nil {
			clock.Sleep(ctx, c.step(ctx))
		}
	}()
	return c
}

// startUp reads the records. An instance that joins a running fleet knows at once which instances to poll. Among instances
// that find no records the strongest register first, and the others read once more before they do.
func (c *Membership) startUp(ctx context.Context) {
	for !c.refresh(ctx) && c.clock.Sleep(ctx, halfJitter(firstCountRetryDelay)) {
		continue
	}
	c.adoptRecord()
	alone := len(c.Members()) == 0
	if alone {
		c.clock.Sleep(ctx, emptyFleetDelayOf(c.self.Power))
	}
	c.clock.Sleep(ctx, time.Duration(rand.Float64()*float64(startJitter)))
	if !alone || !c.list(ctx) {
		return
	}
	if _, joins := c.chooseSlot(); !joins {
		c.publish()
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
func (c *Membership) adoptRecord() {
	for _, r := range c.snapshot.Records {
		if r.Instance == c.self {
			c.lease = r.Lease
		}
	}
}

// step joins, renews the record or reads the records, and returns the delay until the next step.
func (c *Membership) step(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.lease == 0 {
		if slot, ok := c.chooseSlot(); ok {
			return c.join(ctx, slot)
		}
	}
	if c.lease != 0 && c.clock.Since(c.renewedAt) >= countInterval {
		if delay, ok := c.renew(ctx); !ok {
			return delay
		}
	}
	switch {
	case !c.refresh(ctx):
		return retryDelay
	case len(c.Key()) == 0:
		return missingKeyDelay
	}
	if c.trackCount(); c.lease == 0 {
		// Without the jitter many instances without a record would read at the same moment.
		return halfJitter(c.nextReadDelayWithoutRecord())
	}
	return c.nextReadDelay()
}

// trackCount updates the number of reads in a row that have found the same number of instances.
func (c *Membership) trackCount() {
	if n := c.Instances(); n != c.count {
		c.count, c.sameCounts = n, 0
		return
	}
	c.sameCounts++
}

// nextReadDelay returns the delay until an instance with a record reads again. Shared limits are divided by the number of
// instances, so that a number that was read while others were still joining must soon be corrected.
func (c *Membership) nextReadDelay() time.Duration {
	switch {
	case c.sameCounts == 0 && c.count == AssumedInstances, c.sameCounts == 1 && c.count != AssumedInstances:
		return recountDelay
	case c.sameCounts == 0, c.count == AssumedInstances:
		return unknownCountDelay
	default:
		return countInterval
	}
}

// nextReadDelayWithoutRecord returns the longest delay until an instance without a record reads again. While the number
// of instances changes or is unknown, its list may lack the relay of its domain, so that no relay counts the instance.
func (c *Membership) nextReadDelayWithoutRecord() time.Duration {
	if c.sameCounts == 0 || c.count == AssumedInstances {
		return recountDelay
	}
	return countInterval
}

func (c *Membership) join(ctx context.Context, slot Slot) time.Duration {
	lease, err := c.registry.Join(ctx, c.self, slot, recordTTL)
	switch {
	case errors.Is(err, ErrTaken):
		c.stats.Counter("records_taken_total").Inc(1)
		c.list(ctx)
		return halfJitter(slotTakenDelay)
	case err != nil:
		c.log.WithError(err).Warn("record of the instance not written")
		return retryDelay
	}
	c.lease, c.renewedAt, c.missingSince = lease, c.clock.Now(), time.Time{}
	c.ensureKey(ctx)
	return joinSettleDelay
}

// renew renews the record; if that fails, it returns the delay until the next step and false.
func (c *Membership) renew(ctx context.Context) (time.Duration, bool) {
	err := c.registry.Renew(ctx, c.lease)
	switch {
	case errors.Is(err, ErrExpired):
		c.lease = 0
		c.log.Warn("record of the instance has ended")
		return 0, false
	case err != nil:
		c.log.WithError(err).Warn("record of the instance not renewed")
		return renewRetryDelay, false
	}
	c.renewedAt = c.clock.Now()
	return 0, true
}

// chooseSlot returns the slot to write the own record to, and false if this instance needs no record.
func (c *Membership) chooseSlot() (Slot, bool) {
	return chooseSlot(c.snapshot.Records, c.self, c.relayThreshold, rand.IntN)
}

// refresh reads the records, publishes them, and reports whether that succeeded.
func (c *Membership) refresh(ctx context.Context) bool {
	if !c.list(ctx) {
		return false
	}
	c.publish()
	if len(c.snapshot.Key) == 0 {
		c.ensureKey(ctx)
	}
	return true
}

// list reads the records and reports whether that succeeded.
func (c *Membership) list(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := c.registry.List(ctx)
	if err != nil {
		c.log.WithError(err).Warn("instances not counted")
		return false
	}
	if len(snapshot.Key) == 0 {
		snapshot.Key = c.snapshot.Key
	}
	if len(snapshot.Records) == 0 && c.lease != 0 {
		// The list may be older than the own record.
		snapshot.Records = []Record{{Instance: c.self, Lease: c.lease}}
	}
	c.snapshot = snapshot
	c.setEmpty(len(snapshot.Records) == 0)
	c.checkReplaced(snapshot.Records)
	return true
}

// publish updates the view from the last snapshot. Instances that start together must not publish the first few records,
// which look like the whole of a small fleet.
func (c *Membership) publish() {
	snapshot := c.snapshot
	before, after := c.setSnapshot(&snapshot)
	c.stats.Gauge("instances_counted").Update(int64(c.Instances()))
	c.stats.Gauge("instances_with_records").Update(int64(after))
	if before != after {
		c.log.WithFields(logrus.Fields{"instances": after, "before": before}).Info("instances counted")
	}
}

// checkReplaced abandons the own record once it has been missing from the list for replacedAfter, since another instance has
// then replaced it.
func (c *Membership) checkReplaced(records []Record) {
	listed := c.lease == 0 || slices.ContainsFunc(records, func(r Record) bool { return r.Name == c.self.Name })
	switch now := c.clock.Now(); {
	case listed:
		c.missingSince = time.Time{}
	case c.missingSince.IsZero():
		c.missingSince = now
	case now.Sub(c.missingSince) >= replacedAfter:
		c.lease, c.missingSince = 0, time.Time{}
		c.log.Warn("record of the instance was replaced")
	}
}

// ensureKey creates the fleet key if there is none and this instance has the lowest name of those with a record; the other
// instances find the key at their next read.
func (c *Membership) ensureKey(ctx context.Context) {
	if len(c.snapshot.Key) > 0 || c.lease == 0 {
		return
	}
	for _, r := range c.snapshot.Records {
		if r.Name < c.self.Name {
			return
		}
	}
	key, err := c.newKey()
	if err == nil {
		key, err = c.registry.EnsureKey(ctx, key)
	}
	if err != nil {
		c.log.WithError(err).Warn("the fleet's key not written")
		return
	}
	c.snapshot.Key = key
	c.setKey(key)
}
