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
	// period is how often holdings are compared with what is wanted.
	period = 200 * time.Millisecond
	// awaitTime bounds one wait for the right to become free. A wait that hangs in an outage ends so much later at most, and
	// few instances wait.
	awaitTime = 4 * time.Second
	// standBack is how often an instance that hears of the fleet through another one looks whether it still does.
	standBack = 500 * time.Millisecond
	// claimTime bounds a call that takes or keeps the right.
	claimTime = 800 * time.Millisecond
	// startSpread keeps instances that start together from all asking for the right at once.
	startSpread = 150 * time.Millisecond
	// calm is how long no server may have come or gone before empty ones get layers, so that those that start together are
	// placed together.
	calm = 400 * time.Millisecond
	// patience is the longest that empty servers wait for calm.
	patience = 1500 * time.Millisecond
	// replaceTime is how long an empty server of a domain that lacks nothing waits for the one that it may be there to replace,
	// which mostly leaves within that time.
	replaceTime = 1500 * time.Millisecond
	// coldCalm and coldPatience are the same for a service of which no server holds anything: nothing is served meanwhile, and
	// which server is fast shows only when all are known. Entries appear within a heartbeat of the platform, 1.2 s.
	coldCalm     = 1500 * time.Millisecond
	coldPatience = 4 * time.Second
)

// Place tells where an instance stands in the fleet.
type Place interface {
	// Direct reports whether the instance follows the platform's store itself. Others leave it to those that do to give
	// orders: they know first what changes, and each waiting call has its price.
	Direct() bool
}

// Leader takes part in choosing who gives orders and gives them while it is chosen.
type Leader struct {
	claim  Claim
	place  Place
	holder string
	board  *follow.Board
	caller backend.Caller
	clock  *timer.Service
	stats  *metrics.Registry
	log    *logrus.Logger
	stop   chan struct{}
	done   chan struct{}

	lease lease
	work  *work
}

// New returns a Leader and starts it; it ends when ctx ends or Stop is called. Holder names this start of the instance.
func New(
	ctx context.Context, claim Claim, place Place, holder string, board *follow.Board, caller backend.Caller, clock *timer.Service,
	stats *metrics.Registry, log *logrus.Logger,
) *Leader {
	g := &Leader{
		claim: claim, place: place, holder: holder, board: board, caller: caller, clock: clock, stats: stats, log: log,
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
			g.serve(ctx)
			continue
		}
		g.contend(ctx)
	}
}

// contend waits for the right to become free and tries to take it.
func (g *Leader) contend(ctx context.Context) {
	if !g.place.Direct() {
		g.clock.Sleep(ctx, standBack)
		return
	}
	wait, cancel := context.WithTimeout(ctx, awaitTime+claimTime)
	free, err := g.claim.Await(wait, awaitTime)
	cancel()
	if err != nil {
		g.clock.Sleep(ctx, claimTime)
		return
	}
	if !free {
		return
	}
	g.clock.Sleep(ctx, time.Duration(rand.Float64()*float64(startSpread)))
	before := g.clock.Now()
	take, cancel := context.WithTimeout(ctx, claimTime)
	grant, err := g.claim.Take(take, g.holder, leaseTime)
	cancel()
	switch {
	case errors.Is(err, ErrTaken):
		return
	case err != nil:
		g.log.WithError(err).Warn("right to give orders not taken")
		g.clock.Sleep(ctx, claimTime)
		return
	}
	g.lease.taken(grant, before)
	g.work = newWork(g)
	g.stats.Counter("leader_terms_total").Inc(1)
	g.stats.Gauge("gives_orders").Update(1)
	g.log.WithFields(logrus.Fields{"holder": g.holder, "lease": grant.Lease}).Info("gives orders")
}

// serve keeps the right and gives orders, one round of both.
func (g *Leader) serve(ctx context.Context) {
	if g.clock.Since(g.lease.kept) >= keepPeriod {
		g.keep(ctx)
	}
	if g.lease.held() {
		g.work.round(ctx)
	}
	if !g.lease.held() {
		g.log.WithField("holder", g.holder).Warn("no longer gives orders")
		g.stats.Gauge("gives_orders").Update(0)
		g.lease.drop()
		return
	}
	g.clock.Sleep(ctx, period)
}

func (g *Leader) keep(ctx context.Context) {
	before := g.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	err := g.claim.Keep(ctx, g.lease.grant)
	switch {
	case err == nil:
		g.lease.renewed(before)
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
	ctx, cancel := context.WithTimeout(context.Background(), claimTime)
	defer cancel()
	if err := g.claim.End(ctx, g.lease.grant); err != nil {
		g.log.WithError(err).Warn("right to give orders not given back, it ends by itself")
	}
}
