package leader

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"junctioncross/backend"
	"junctioncross/follow"
	"junctioncross/metrics"
	"junctioncross/timer"
)

const (
	// roundPeriod is how often the layers that servers hold are compared with those that they should hold.
	roundPeriod = 200 * time.Millisecond
	// maxAwait limits one wait for the lock to become free. If the store goes silent during a wait, the instance notices at
	// most this much later; only the few instances that follow the store directly wait.
	maxAwait = 4 * time.Second
	// directCheckPeriod is how often an instance that gets its feed updates from another instance checks whether it follows
	// the store itself by now.
	directCheckPeriod = 500 * time.Millisecond
	// lockTimeout limits a call that acquires, renews or releases the lock, and is the pause after a failed one.
	lockTimeout = 800 * time.Millisecond
	// startJitter is the longest random delay before an instance tries to acquire a free lock, so that instances that start
	// together do not all try at once.
	startJitter = 150 * time.Millisecond
	// quietTime is how long no server may have appeared before empty servers get layers, so that servers that start together
	// are placed together.
	quietTime = 400 * time.Millisecond
	// maxQuietWait is the longest that empty servers wait for such a quiet period.
	maxQuietWait = 1500 * time.Millisecond
	// replacementWait is how long an empty server of a domain that does not lack most of a model is reserved for one that it
	// may have been started to replace; such a server usually leaves within that time.
	replacementWait = 1500 * time.Millisecond
	// coldQuietTime and maxColdQuietWait are the same for a cold service, of which no server holds any layer: it serves no
	// requests meanwhile, and the fastest servers can be chosen only when all are known. Entries appear within one heartbeat
	// of the platform, 1.2 s.
	coldQuietTime    = 1500 * time.Millisecond
	maxColdQuietWait = 4 * time.Second
)

// Upstream describes where the instance gets its feed updates from.
type Upstream interface {
	// Direct reports whether the instance follows the platform's store itself. Only such instances compete for leadership:
	// they learn of changes first, and each waiting call costs the store resources.
	Direct() bool
}

// Leader competes for leadership of the fleet and gives orders to servers while it has it.
type Leader struct {
	lock     Lock
	upstream Upstream
	holder   string
	fleet    *follow.FleetView
	engines  backend.EngineClient
	clock    *timer.Service
	stats    *metrics.Registry
	log      *logrus.Logger
	stop     chan struct{}
	done     chan struct{}

	lease lease
	term  *term
}

// New returns a Leader and starts it; it runs until ctx ends or Stop is called. Holder identifies this run of the instance
// in the lock.
func New(
	ctx context.Context, lock Lock, upstream Upstream, holder string, fleet *follow.FleetView, engines backend.EngineClient,
	clock *timer.Service, stats *metrics.Registry, log *logrus.Logger,
) *Leader {
	g := &Leader{
		lock: lock, upstream: upstream, holder: holder, fleet: fleet, engines: engines, clock: clock, stats: stats, log: log,
		stop: make(chan struct{}), done: make(chan struct{}), lease: lease{clock: clock},
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		<-g.stop
		cancel()
	}()
	go func() {
		defer close(g.done)
		g.run(ctx)
		g.resign()
	}()
	return g
}

// Stop stops the Leader, releases the lock and returns when that is done.
func (g *Leader) Stop() {
	close(g.stop)
	<-g.done
}

func (g *Leader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if g.lease.held() {
			g.lead(ctx)
			continue
		}
		g.campaign(ctx)
	}
}

// campaign waits for the lock to become free and tries to acquire it.
func (g *Leader) campaign(ctx context.Context) {
	if !g.upstream.Direct() {
		g.clock.Sleep(ctx, directCheckPeriod)
		return
	}
	wait, cancel := context.WithTimeout(ctx, maxAwait+lockTimeout)
	free, err := g.lock.Await(wait, maxAwait)
	cancel()
	if err != nil {
		g.clock.Sleep(ctx, lockTimeout)
		return
	}
	if !free {
		return
	}
	g.clock.Sleep(ctx, time.Duration(rand.Float64()*float64(startJitter)))
	sentAt := g.clock.Now()
	take, cancel := context.WithTimeout(ctx, lockTimeout)
	grant, err := g.lock.Acquire(take, g.holder, leaseTTL)
	cancel()
	switch {
	case errors.Is(err, ErrTaken):
		return
	case err != nil:
		g.log.WithError(err).Warn("right to give orders not taken")
		g.clock.Sleep(ctx, lockTimeout)
		return
	}
	g.lease.acquired(grant, sentAt)
	g.term = newTerm(g)
	g.stats.Counter("leader_terms_total").Inc(1)
	g.stats.Gauge("gives_orders").Update(1)
	g.log.WithFields(logrus.Fields{"holder": g.holder, "lease": grant.Lease}).Info("gives orders")
}

// lead runs one round of a leader: it renews the lease when that is due and gives orders.
func (g *Leader) lead(ctx context.Context) {
	if g.clock.Since(g.lease.renewedAt) >= renewPeriod {
		g.renew(ctx)
	}
	if g.lease.held() {
		g.term.round(ctx)
	}
	if !g.lease.held() {
		g.log.WithField("holder", g.holder).Warn("no longer gives orders")
		g.stats.Gauge("gives_orders").Update(0)
		g.lease.drop()
		return
	}
	g.clock.Sleep(ctx, roundPeriod)
}

// renew renews the lease; a lease that has ended is dropped.
func (g *Leader) renew(ctx context.Context) {
	sentAt := g.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	err := g.lock.Renew(ctx, g.lease.grant)
	switch {
	case err == nil:
		g.lease.renewed(sentAt)
	case errors.Is(err, ErrLeaseEnded):
		g.lease.drop()
	default:
		g.log.WithError(err).Warn("right to give orders not renewed")
	}
}

// resign releases the lock, so that another instance can take over at once.
func (g *Leader) resign() {
	if g.lease.grant.Lease == 0 {
		return
	}
	g.stats.Gauge("gives_orders").Update(0)
	ctx, cancel := context.WithTimeout(context.Background(), lockTimeout)
	defer cancel()
	if err := g.lock.Release(ctx, g.lease.grant); err != nil {
		g.log.WithError(err).Warn("right to give orders not given back, it ends by itself")
	}
}
