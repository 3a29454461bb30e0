package census

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"junctioncross/metrics"
	"junctioncross/timer"
)

const (
	// recordTime is how long the record of an instance that died still counts: too many are safe, since limits are
	// divided by them, and long records cost few calls.
	recordTime = 60 * time.Second
	// firstSpread spreads the records of instances that start together.
	firstSpread = time.Second
	// settleTime is how long after joining the others are counted again, when those who started together are there. An
	// instance that comes later finds them at once.
	settleTime = 2500 * time.Millisecond
	// countPeriod is how often the records are counted and the own one is renewed.
	countPeriod = 15 * time.Second
	// renewPause is the pause after a renewal that failed; the record lasts for many of them.
	renewPause = 5 * time.Second
	// retryPause is the pause after a failed call.
	retryPause = 2 * time.Second
	// firstAgain bounds the pause after a first count that failed, half of which is random: until it succeeds the instance knows no
	// relay and no key to prove itself with, and asks the store for all that it hears, which costs more than a count.
	firstAgain = 500 * time.Millisecond
	// callTime bounds one call.
	callTime = time.Second
	// Unknown is the number that is assumed until the records were counted; large, since each instance's part of a shared
	// limit must be safe.
	Unknown = 100
)

// ErrOver means that the record of an instance has ended.
var ErrOver = errors.New("census: record has ended")

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
	Members []Instance
	// Key is what the instances prove themselves with to each other; it is empty before the first has written one.
	Key []byte
}

// Register holds the records of the instances.
type Register interface {
	// Join writes a record that lasts for ttl and returns the lease that it hangs on.
	Join(ctx context.Context, self Instance, ttl time.Duration) (lease int64, err error)
	// Renew lets the record last for another ttl; it returns ErrOver when it has ended.
	Renew(ctx context.Context, lease int64) error
	// List returns the records, which may be some seconds old.
	List(ctx context.Context) (Roll, error)
	// Found writes the fleet's key if there is none, and returns the one that is there.
	Found(ctx context.Context, key []byte) ([]byte, error)
}

// Census counts the instances.
type Census struct {
	register Register
	self     Instance
	stats    *metrics.Registry
	log      *logrus.Logger
	newKey   func() ([]byte, error)
	roll     atomic.Pointer[Roll]
	lease    int64
}

// New returns a Census and starts it; it stops when ctx ends. NewKey makes a key for a fleet that has none.
func New(
	ctx context.Context, register Register, self Instance, newKey func() ([]byte, error), clock *timer.Service,
	stats *metrics.Registry, log *logrus.Logger,
) *Census {
	c := &Census{register: register, self: self, newKey: newKey, stats: stats, log: log}
	c.roll.Store(&Roll{})
	go func() {
		// One that comes to a running fleet knows at once whom to ask.
		for !c.look(ctx) && clock.Sleep(ctx, firstAgain/2+time.Duration(rand.Float64()*float64(firstAgain/2))) {
			continue
		}
		clock.Sleep(ctx, time.Duration(rand.Float64()*float64(firstSpread)))
		for ctx.Err() == nil {
			clock.Sleep(ctx, c.step(ctx))
		}
	}()
	return c
}

// Instances returns the number of instances; it is Unknown before the first count.
func (c *Census) Instances() int {
	if n := len(c.Members()); n > 0 {
		return n
	}
	return Unknown
}

// Members returns the instances that were counted last; it is empty before the first count.
func (c *Census) Members() []Instance { return c.roll.Load().Members }

// Key returns what the instances prove themselves with to each other; it is empty while it is not known.
func (c *Census) Key() []byte { return c.roll.Load().Key }

// step joins, renews or counts, and returns when to go on.
func (c *Census) step(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if c.lease == 0 {
		lease, err := c.register.Join(ctx, c.self, recordTime)
		if err != nil {
			c.log.WithError(err).Warn("record of the instance not written")
			return retryPause
		}
		c.lease = lease
		return c.recount(ctx, settleTime)
	}
	switch err := c.register.Renew(ctx, c.lease); {
	case errors.Is(err, ErrOver):
		c.lease = 0
		c.log.Warn("record of the instance has ended")
		return 0
	case err != nil:
		c.log.WithError(err).Warn("record of the instance not renewed")
		return renewPause
	}
	return c.recount(ctx, countPeriod)
}

// recount reads the records and returns when to go on: after next, or soon when that failed.
func (c *Census) recount(ctx context.Context, next time.Duration) time.Duration {
	if !c.look(ctx) {
		return retryPause
	}
	return next
}

// look reads the records and reports whether it could.
func (c *Census) look(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	roll, err := c.register.List(ctx)
	if err == nil && len(roll.Key) == 0 {
		roll.Key, err = c.found(ctx, roll.Members)
	}
	if err != nil {
		c.log.WithError(err).Warn("instances not counted")
		return false
	}
	if len(roll.Members) == 0 && c.lease != 0 {
		// The list may be older than the own record.
		roll.Members = []Instance{c.self}
	}
	if old := c.roll.Swap(&roll); len(old.Members) != len(roll.Members) {
		c.stats.Gauge("instances_counted").Update(int64(len(roll.Members)))
		c.log.WithFields(logrus.Fields{"instances": len(roll.Members), "before": len(old.Members)}).Info("instances counted")
	}
	return true
}

// found returns the fleet's key, which the first of the members makes when there is none; the others find it when they count
// again. Lists may be older than the key.
func (c *Census) found(ctx context.Context, members []Instance) ([]byte, error) {
	if known := c.Key(); len(known) > 0 || c.lease == 0 {
		return known, nil
	}
	for _, m := range members {
		if m.Name < c.self.Name {
			return nil, nil
		}
	}
	key, err := c.newKey()
	if err != nil {
		return nil, err
	}
	return c.register.Found(ctx, key)
}
