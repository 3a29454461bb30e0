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
	"junctioncross/supervise"
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
	// replacementWait is how long a new empty server is reserved, since it may have been started to replace another one, which
	// then usually leaves within that time. In a domain that lacks most of a model, no servers are reserved.
	replacementWait = 1500 * time.Millisecond
	// coldQuietTime and maxColdQuietWait replace quietTime and maxQuietWait for a cold service, of which no server holds any
	// layer: it serves no requests meanwhile, and the fastest servers can be chosen only when all are known. Entries appear
	// within one heartbeat of the platform, 1.2 s.
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
	cancel   context.CancelFunc
	done     chan struct{}

	guard *supervise.Supervisor
	lease lease
	term  *term
	// handedOn is when the lock was last given to another instance because of panics.
	handedOn time.Time
}

// New returns a Leader and starts it; it runs until ctx ends or Stop is called. Holder identifies this run of the instance
// in the lock.
func New(
	ctx context.Context, lock Lock, upstream Upstream, holder string, fleet *follow.FleetView, engines backend.EngineClient,
	clock *timer.Service, stats *metrics.Registry, log *logrus.Logger,
) *Leader {
	ctx, cancel := context.WithCancel(ctx)
	l := &Leader{
		lock: lock, upstream: upstream, holder: holder, fleet: fleet, engines: engines, clock: clock, stats: stats, log: log,
		cancel: cancel, done: make(chan struct{}), guard: supervise.New(clock, stats, log), lease: lease{clock: clock},
	}
	go func() {
		defer close(l.done)
		defer cancel()
		l.guard.Keep(ctx, partName, l.work, l.run)
		l.guard.Call(partName, l.work, l.resign)
	}()
	return l
}

// work returns what the leader was working on, for the log.
func (l *Leader) work() supervise.Work {
	w := supervise.Work{Lease: l.lease.grant.Lease}
	if c := l.fleet.Current().Catalog(); c != nil {
		w.Config = c.Version()
	}
	w.Service = l.term.placing
	return w
}

// Stop stops the Leader, releases the lock and returns when that is done.
func (l *Leader) Stop() {
	l.cancel()
	<-l.done
}

// run competes for the lock and gives orders until ctx ends. It begins with a new term: what the former one knows may be half changed by
// a panic. The lease stays as it is, since its end follows from the clock.
func (l *Leader) run(ctx context.Context) {
	l.term = newTerm(l)
	if !l.lease.held() {
		l.noteLockLost()
	}
	for ctx.Err() == nil {
		if l.lease.held() {
			l.lead(ctx)
			continue
		}
		l.campaign(ctx)
	}
}

// campaign waits for the lock to become free and tries to acquire it.
func (l *Leader) campaign(ctx context.Context) {
	if !l.upstream.Direct() {
		l.clock.Sleep(ctx, directCheckPeriod)
		return
	}
	awaitCtx, cancel := context.WithTimeout(ctx, maxAwait+lockTimeout)
	free, err := l.lock.Await(awaitCtx, maxAwait)
	cancel()
	if err != nil {
		l.clock.Sleep(ctx, lockTimeout)
		return
	}
	if !free {
		return
	}
	l.clock.Sleep(ctx, time.Duration(rand.Float64()*float64(startJitter)))
	sentAt := l.clock.Now()
	acquireCtx, cancel := context.WithTimeout(ctx, lockTimeout)
	grant, err := l.lock.Acquire(acquireCtx, l.holder, leaseTTL)
	cancel()
	switch {
	case errors.Is(err, ErrTaken):
		return
	case err != nil:
		l.log.WithError(err).Warn("right to give orders not taken")
		l.clock.Sleep(ctx, lockTimeout)
		return
	}
	l.lease.acquired(grant, sentAt)
	l.term = newTerm(l)
	l.stats.Counter("leader_terms_total").Inc(1)
	l.stats.Gauge("gives_orders").Update(1)
	l.log.WithFields(logrus.Fields{"holder": l.holder, "lease": grant.Lease}).Info("gives orders")
}

// lead runs one round of a leader: it renews the lease when that is due and gives orders.
func (l *Leader) lead(ctx context.Context) {
	if l.clock.Since(l.lease.renewedAt) >= renewPeriod {
		l.renew(ctx)
	}
	if l.lease.held() {
		l.term.round(ctx)
	}
	if l.lease.held() && l.shouldHandOn() {
		l.handOn(ctx)
		return
	}
	if !l.lease.held() {
		l.noteLockLost()
		return
	}
	l.clock.Sleep(ctx, roundPeriod)
}

// handOn releases the lock because of panics and leaves it to other instances for a moment.
func (l *Leader) handOn(ctx context.Context) {
	l.handedOn = l.clock.Now()
	l.stats.Counter("leader_terms_handed_on_total").Inc(1)
	l.resign()
	l.noteLockLost()
	l.clock.Sleep(ctx, handOnWait)
}

// noteLockLost records that the instance no longer has the lock, if it had it.
func (l *Leader) noteLockLost() {
	l.stats.Gauge("gives_orders").Update(0)
	if l.lease.grant.Lease == 0 {
		return
	}
	l.log.WithField("holder", l.holder).Warn("no longer gives orders")
	l.lease.drop()
}

// renew renews the lease, or drops it if it has ended.
func (l *Leader) renew(ctx context.Context) {
	sentAt := l.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, lockTimeout)
	defer cancel()
	err := l.lock.Renew(ctx, l.lease.grant)
	switch {
	case err == nil:
		l.lease.renewed(sentAt)
	case errors.Is(err, ErrLeaseEnded):
		l.lease.drop()
	default:
		l.log.WithError(err).Warn("right to give orders not renewed")
	}
}

// resign releases the lock, so that another instance can take over at once.
func (l *Leader) resign() {
	if l.lease.grant.Lease == 0 {
		return
	}
	l.stats.Gauge("gives_orders").Update(0)
	ctx, cancel := context.WithTimeout(context.Background(), lockTimeout)
	defer cancel()
	if err := l.lock.Release(ctx, l.lease.grant); err != nil {
		l.log.WithError(err).Warn("right to give orders not given back, it ends by itself")
	}
}
