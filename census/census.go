package census

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"junctioncross/metrics"
	"junctioncross/timer"
)

const (
	// recordTime is how long the record of an instance that died still counts: too many are safe, since limits are
	// divided by them, and long records cost few calls.
	recordTime = 60 * time.Second
	// firstSpread spreads the first calls of instances that start together.
	firstSpread = time.Second
	// settleTime is how long after joining the others are counted again, when those who started together are there. An
	// instance that comes later finds them at once.
	settleTime = 2500 * time.Millisecond
	// countPeriod is how often the records are counted and the own one is renewed.
	countPeriod = 15 * time.Second
	// retryPause is the pause after a failed call.
	retryPause = 2 * time.Second
	// callTime bounds one call.
	callTime = time.Second
	// Unknown is the number that is assumed until the records were counted; large, since each instance's part of a shared
	// limit must be safe.
	Unknown = 100
)

// Register holds the records of the instances.
type Register interface {
	// Join writes a record that lasts for ttl and returns the lease that it hangs on.
	Join(ctx context.Context, name string, ttl time.Duration) (lease int64, err error)
	// Renew lets the record last for another ttl; the error may mean that it is over.
	Renew(ctx context.Context, lease int64) error
	// Count returns the number of records, which may be some seconds old.
	Count(ctx context.Context) (int, error)
}

// Census counts the instances.
type Census struct {
	register Register
	name     string
	stats    *metrics.Registry
	log      *logrus.Logger
	count    atomic.Int64
	lease    int64
}

// New returns a Census and starts it; it stops when ctx ends. Name is unique among the instances.
func New(ctx context.Context, register Register, name string, clock *timer.Service, stats *metrics.Registry, log *logrus.Logger) *Census {
	c := &Census{register: register, name: name, stats: stats, log: log}
	c.count.Store(Unknown)
	go func() {
		clock.Sleep(ctx, time.Duration(rand.Float64()*float64(firstSpread)))
		for ctx.Err() == nil {
			clock.Sleep(ctx, c.step(ctx))
		}
	}()
	return c
}

// Instances returns the number of instances.
func (c *Census) Instances() int { return int(c.count.Load()) }

// step joins, renews or counts, and returns when to go on.
func (c *Census) step(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if c.lease == 0 {
		lease, err := c.register.Join(ctx, c.name, recordTime)
		if err != nil {
			c.log.WithError(err).Warn("record of the instance not written")
			return retryPause
		}
		c.lease = lease
		return c.recount(ctx, settleTime)
	}
	if err := c.register.Renew(ctx, c.lease); err != nil {
		// The next step writes a new record; two records of one instance only make limits smaller for a while.
		c.lease = 0
		c.log.WithError(err).Warn("record of the instance not renewed")
		return retryPause
	}
	return c.recount(ctx, countPeriod)
}

// recount counts the records and returns when to go on: after next, or soon when that failed.
func (c *Census) recount(ctx context.Context, next time.Duration) time.Duration {
	n, err := c.register.Count(ctx)
	if err != nil {
		c.log.WithError(err).Warn("instances not counted")
		return retryPause
	}
	if old := c.count.Swap(int64(max(n, 1))); old != int64(n) {
		c.stats.Gauge("instances_counted").Update(int64(n))
		c.log.WithFields(logrus.Fields{"instances": n, "before": old}).Info("instances counted")
	}
	return next
}
