package census

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
	// recordTTL is how long the record of an instance that died still counts: too many are safe, since limits are
	// divided by them, and long records cost few calls.
	recordTTL = 60 * time.Second
	// emptyFleetDelay is how long an instance of full power that finds nobody waits before it joins. Those who start together with it have looked by
	// then and found nobody either, so that none takes the first few records for the whole fleet and reads the store as if it needed no relay.
	// Weaker ones wait longer, up to longestFirst, so that the strongest, which can serve as relays, have their records first.
	emptyFleetDelay    = 300 * time.Millisecond
	maxEmptyFleetDelay = 1500 * time.Millisecond
	// startJitter spreads the records of instances that start together.
	startJitter = 700 * time.Millisecond
	// joinSettleDelay is how long after joining the others are counted: all that started together have joined by then.
	joinSettleDelay = time.Second
	// recountDelay is how long after a look that found the same number of instances as before they are counted again, when the slowest of
	// those who started together are there.
	recountDelay = 2500 * time.Millisecond
	// replacedAfter is how long an instance's record must be missing from the lists, which may be some seconds old, before it counts as replaced.
	replacedAfter = 5 * time.Second
	// slotTakenDelay bounds the pause after a slot turned out to be taken, half of which is random.
	slotTakenDelay = time.Second
	// missingKeyDelay is the pause between looks while the fleet's key is missing: nobody can ask another instance without it.
	missingKeyDelay = 300 * time.Millisecond
	// unknownCountDelay is the pause between looks of those that have records while the relays do not know how many others there are, or
	// have just found another number.
	unknownCountDelay = time.Second
	// countInterval is how often the records are counted and the own one is renewed.
	countInterval = 15 * time.Second
	// renewRetryDelay is the pause after a renewal that failed; the record lasts for many of them.
	renewRetryDelay = 5 * time.Second
	// retryDelay is the pause after a failed call.
	retryDelay = 2 * time.Second
	// firstCountRetryDelay bounds the pause after a first count that failed, half of which is random: until it succeeds the instance knows no
	// relay and no key to prove itself with, and asks the store for all that it hears, which costs more than a count.
	firstCountRetryDelay = 500 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = time.Second
	// Unknown is the number that is assumed until the instances are counted: twice the largest fleet, since each instance's part of a shared
	// limit must be safe.
	Unknown = 2000
)

// Errors of a Register.
var (
	// ErrOver means that the record of an instance has ended.
	ErrOver = errors.New("census: record has ended")
	// ErrTaken means that another instance has written to the slot meanwhile.
	ErrTaken = errors.New("census: slot is taken")
)

// Instance is what an instance tells the others of itself.
type Instance struct {
	// Name is unique among the instances.
	Name string
	// Domain is the failure domain that the instance stands in.
	Domain string
	// Addr is the IP number and UDP port for calls of other instances; it is empty when there are none.
	Addr string
	// Power is the instance's processor power against that of others.
	Power float64
}

// Roll is what the records tell.
type Roll struct {
	Records []Record
	// Key is what the instances prove themselves with to each other; it is empty before the first has written one.
	Key []byte
	// Era is how often the store had lost writes when the records were read.
	Era int64
}

// Register holds the records of the instances.
type Register interface {
	// Join writes a record that lasts for ttl to a slot of the instance's domain and returns the lease that it hangs on; it returns ErrTaken
	// when the slot is no longer as it was.
	Join(ctx context.Context, self Instance, slot Slot, ttl time.Duration) (lease int64, err error)
	// Renew lets the record last for another ttl; it returns ErrOver when it has ended.
	Renew(ctx context.Context, lease int64) error
	// List returns the records, which may be some seconds old.
	List(ctx context.Context) (Roll, error)
	// Found writes the fleet's key if there is none, and returns the one that is there.
	Found(ctx context.Context, key []byte) ([]byte, error)
}

// Census counts the instances and keeps the record of its own.
type Census struct {
	*Board
	register Register
	self     Instance
	clock    *timer.Service
	stats    *metrics.Registry
	log      *logrus.Logger
	newKey   func() ([]byte, error)
	// snapshot is what was read last.
	snapshot Roll
	lease    int64
	// renewedAt is when the record was last known to last for its whole time.
	renewedAt time.Time
	// count is the count of instances that the latest look found, and sameCounts counts the looks in a row before it that found the sameCounts.
	count, sameCounts int
	// missingSince is since when the own record is not in the lists.
	missingSince time.Time
}

// New returns a Census that shows its counts on board, and starts it; it stops when ctx ends. NewKey makes a key for a fleet that has none.
func New(
	ctx context.Context, board *Board, register Register, self Instance, newKey func() ([]byte, error), clock *timer.Service,
	stats *metrics.Registry, log *logrus.Logger,
) *Census {
	c := &Census{Board: board, register: register, self: self, newKey: newKey, clock: clock, stats: stats, log: log}
	go func() {
		c.startUp(ctx)
		for ctx.Err() == nil {
			clock.Sleep(ctx, c.step(ctx))
		}
	}()
	return c
}

// startUp looks who there is. One that comes to a running fleet knows at once whom to ask; of those that find nobody the strongest write their
// records first, and the others look again before they do.
func (c *Census) startUp(ctx context.Context) {
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

// halfJitter returns a pause of which half is random, so that instances which failed together do not come back together.
func halfJitter(limit time.Duration) time.Duration {
	return limit/2 + time.Duration(rand.Float64()*float64(limit/2))
}

// emptyFleetDelayOf returns how long an instance of some power waits that finds nobody.
func emptyFleetDelayOf(power float64) time.Duration {
	if power <= 0 {
		return maxEmptyFleetDelay
	}
	return min(time.Duration(float64(emptyFleetDelay)/min(power, 1)), maxEmptyFleetDelay)
}

// adoptRecord takes over the record that an earlier process of the instance has left, if it tells the same: renewing it costs a twentieth of
// the calls for a new one, for each instance that starts again.
func (c *Census) adoptRecord() {
	for _, r := range c.snapshot.Records {
		if r.Instance == c.self {
			c.lease = r.Lease
		}
	}
}

// step joins, renews or counts, and returns when to go on.
func (c *Census) step(ctx context.Context) time.Duration {
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
		// Many of those without a record count at the same moment otherwise.
		return halfJitter(c.nextReadDelayWithoutRecord())
	}
	return c.nextReadDelay()
}

// trackCount keeps how many looks in a row have found the same number of instances.
func (c *Census) trackCount() {
	if n := c.Instances(); n != c.count {
		c.count, c.sameCounts = n, 0
		return
	}
	c.sameCounts++
}

// nextReadDelay returns when one with a record looks again. Limits are divided by the number, so that it must not stay what it was while the others
// were still coming.
func (c *Census) nextReadDelay() time.Duration {
	switch {
	case c.sameCounts == 0 && c.count == Unknown, c.sameCounts == 1 && c.count != Unknown:
		return recountDelay
	case c.sameCounts == 0, c.count == Unknown:
		return unknownCountDelay
	default:
		return countInterval
	}
}

// nextReadDelayWithoutRecord bounds the pause until one without a record looks again. While the number changes or is not known, its list may lack the
// relay of its domain, so that nobody counts it.
func (c *Census) nextReadDelayWithoutRecord() time.Duration {
	if c.sameCounts == 0 || c.count == Unknown {
		return recountDelay
	}
	return countInterval
}

func (c *Census) join(ctx context.Context, slot Slot) time.Duration {
	lease, err := c.register.Join(ctx, c.self, slot, recordTTL)
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

// renew lets the record last, or returns when to go on.
func (c *Census) renew(ctx context.Context) (time.Duration, bool) {
	err := c.register.Renew(ctx, c.lease)
	switch {
	case errors.Is(err, ErrOver):
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

// chooseSlot returns the slot that the own record should be written to, if it should.
func (c *Census) chooseSlot() (Slot, bool) {
	return chooseSlot(c.snapshot.Records, c.self, c.relayThreshold, rand.IntN)
}

// refresh reads the records, shows them, and reports whether it could.
func (c *Census) refresh(ctx context.Context) bool {
	if !c.list(ctx) {
		return false
	}
	c.publish()
	if len(c.snapshot.Key) == 0 {
		c.ensureKey(ctx)
	}
	return true
}

// list reads the records and reports whether it could.
func (c *Census) list(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := c.register.List(ctx)
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

// publish shows what was read last. Those that start together do not show the first few records, which look like the whole of a small fleet.
func (c *Census) publish() {
	snapshot := c.snapshot
	before, after := c.setSnapshot(&snapshot)
	c.stats.Gauge("instances_counted").Update(int64(c.Instances()))
	c.stats.Gauge("instances_with_records").Update(int64(after))
	if before != after {
		c.log.WithFields(logrus.Fields{"instances": after, "before": before}).Info("instances counted")
	}
}

// checkReplaced gives the record up that another instance has written over.
func (c *Census) checkReplaced(records []Record) {
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

// ensureKey makes the fleet's key when there is none and no other instance that has a record comes first; the others find it when they look
// again.
func (c *Census) ensureKey(ctx context.Context) {
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
		key, err = c.register.Found(ctx, key)
	}
	if err != nil {
		c.log.WithError(err).Warn("the fleet's key not written")
		return
	}
	c.snapshot.Key = key
	c.setKey(key)
}
