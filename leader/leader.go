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
	// roundPeriod is how often holdings are compared with what is wanted.
	roundPeriod = 200 * time.Millisecond
	// maxAwait bounds one wait for the right to become free. A wait that hangs in an outage ends so much later at most, and
	// few instances wait.
	maxAwait = 4 * time.Second
	// directCheckPeriod is how often an instance that hears of the fleet through another one looks whether it still does.
	directCheckPeriod = 500 * time.Millisecond
	// lockTimeout bounds a call that takes or keeps the right.
	lockTimeout = 800 * time.Millisecond
	// startJitter keeps instances that start together from all asking for the right at once.
	startJitter = 150 * time.Millisecond
	// quietTime is how long no server may have come or gone before empty ones get layers, so that those that start together are
	// placed together.
	quietTime = 400 * time.Millisecond
	// maxQuietWait is the longest that empty servers wait for calm.
	maxQuietWait = 1500 * time.Millisecond
	// replacementWait is how long an empty server of a domain that lacks nothing waits for the one that it may be there to replace,
	// which mostly leaves within that time.
	replacementWait = 1500 * time.Millisecond
	// coldQuietTime and coldPatience are the same for a service of which no server holds anything: nothing is served meanwhile, and
	// which server is fast shows only when all are known. Entries appear within a heartbeat of the platform, 1.2 s.
	coldQuietTime    = 1500 * time.Millisecond
	maxColdQuietWait = 4 * time.Second
)

// Place tells where an instance stands in the fleet.
type Place interface {
	// Direct reports whether the instance follows the platform's store itself. Others leave it to those that do to give
	// orders: they know first what changes, and each waiting call has its price.
	Direct() bool
}

// Leader takes part in choosing who gives orders and gives them while it is chosen.
type Leader struct {
	lock     Claim
	upstream Place
	holder   string
	fleet    *follow.Board
	caller   backend.Caller
	clock    *timer.Service
	stats    *metrics.Registry
	log      *logrus.Logger
	stop     chan struct{}
	done     chan struct{}

	lease lease
	term  *term
}

// New returns a Leader and starts it; it ends when ctx ends or Stop is called. Holder names this start of the instance.
func New(
	ctx context.Context, lock Claim, upstream Place, holder string, fleet *follow.Board, caller backend.Caller, clock *timer.Service,
	stats *metrics.Registry, log *logrus.Logger,
) *Leader {
	g := &Leader{
		lock: lock, upstream: upstream, holder: holder, fleet: fleet, caller: caller, clock: clock, stats: stats, log: log,
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

// Stop gives the right back and returns when that is done.
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

// campaign waits for the right to become free and tries to take it.
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
	grant, err := g.lock.Take(take, g.holder, leaseTTL)
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

// lead keeps the right and gives orders, one round of both.
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

func (g *Leader) renew(ctx context.Context) {
	sentAt := g.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	err := g.lock.Keep(ctx, g.lease.grant)
	switch {
	case err == nil:
		g.lease.renewed(sentAt)
	case errors.Is(err, ErrOver):
		g.lease.drop()
	default:
		g.log.WithError(err).Warn("right to give orders not renewed")
	}
}

// resign gives the right back, so that another instance takes over at once.
func (g *Leader) resign() {
	if g.lease.grant.Lease == 0 {
		return
	}
	g.stats.Gauge("gives_orders").Update(0)
	ctx, cancel := context.WithTimeout(context.Background(), lockTimeout)
	defer cancel()
	if err := g.lock.End(ctx, g.lease.grant); err != nil {
		g.log.WithError(err).Warn("right to give orders not given back, it ends by itself")
	}
}
