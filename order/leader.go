package order

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"junctioncross/engine"
	"junctioncross/metrics"
	"junctioncross/timer"
)

const (
	// Period is how often the leader compares the plan with the servers.
	Period       = 500 * time.Millisecond
	callTimeout  = time.Second
	orderTimeout = 700 * time.Millisecond
	// maxMoves bounds the servers of a domain that are drained at the same time.
	maxMoves = 2
	// unfencedWait is how long a new leader gives no orders to servers that do not check the fence: after that time no order of a
	// former leader can still arrive.
	unfencedWait = leaseTTL + orderTimeout
	// propagationTime is how long it may take until every instance of the domain knows that a server is being drained;
	// the server gets its order no earlier.
	propagationTime = 3 * time.Second
)

// Fleet is the leader's view of its failure domain.
type Fleet interface {
	// ShouldLead reports whether this instance is the one of its domain that should hold the lease.
	ShouldLead() bool
	// Targets returns the servers of the domain with what they should hold.
	Targets() []Target
	// Seen returns the last known states of the servers by name; it has no entry for a server of which nothing is known.
	Seen() map[string]Seen
	// SetMoving announces the servers that are being drained: they must get no new work until they have taken their order.
	SetMoving(names []string)
}

// Leader gives the orders of one failure domain while it holds the lease.
type Leader struct {
	fleet   Fleet
	lease   *Lease
	engines *engine.Client
	clock   *timer.Service
	stats   *metrics.Registry
	log     *logrus.Logger
	leads   atomic.Bool
	// moving maps the servers that are being drained to the time when that began; it belongs to the leader's goroutine.
	moving map[string]time.Time
}

// New returns a Leader and starts it; it runs Step every Period until ctx ends.
func New(
	ctx context.Context, fleet Fleet, lease *Lease, engines *engine.Client, clock *timer.Service, stats *metrics.Registry,
	log *logrus.Logger,
) *Leader {
	l := &Leader{
		fleet: fleet, lease: lease, engines: engines, clock: clock, stats: stats, log: log,
		moving: map[string]time.Time{},
	}
	ticks := clock.Subscribe(Period)
	go func() {
		defer ticks.Stop()
		for {
			select {
			case <-ticks.C():
				l.Step(ctx)
			case <-ctx.Done():
				return
			}
		}
	}()
	return l
}

// Leads reports whether this instance held the lease in the last step.
func (l *Leader) Leads() bool { return l.leads.Load() }

// Step takes or renews the lease if this instance should lead and, if it holds the lease, gives the orders that are due.
func (l *Leader) Step(ctx context.Context) {
	if !l.fleet.ShouldLead() {
		l.stepDown()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := l.lease.AcquireOrRenew(ctx); err != nil {
		l.stats.Counter("lease_errors_total").Inc(1)
	}
	fence, heldFor, held := l.lease.Held()
	led := l.leads.Swap(held)
	if !held {
		if led {
			l.withdrawDrains()
		}
		return
	}
	l.giveOrders(fence, heldFor)
}

func (l *Leader) stepDown() {
	if l.leads.Swap(false) {
		l.lease.Abandon()
		l.withdrawDrains()
	}
}

// withdrawDrains forgets which servers are being drained and announces that none is. Another leader may decide not to drain them,
// and propagationTime must count anew for a later drain.
func (l *Leader) withdrawDrains() {
	clear(l.moving)
	l.fleet.SetMoving(nil)
}

func (l *Leader) giveOrders(fence uint64, heldFor time.Duration) {
	d := Decide(l.fleet.Targets(), l.fleet.Seen(), maxMoves)
	l.updateMoving(d.Drain)
	for _, t := range d.Drain {
		if l.clock.Since(l.moving[t.Name]) >= propagationTime && l.idle(t) {
			d.Send = append(d.Send, t)
		}
	}
	for _, t := range d.Send {
		if t.ChecksFence || heldFor >= unfencedWait {
			l.send(t, fence)
		}
	}
}

// updateMoving announces to the domain which servers are being drained and records when that began.
func (l *Leader) updateMoving(drains []Target) {
	moving := make(map[string]time.Time, len(drains))
	names := make([]string, 0, len(drains))
	for _, t := range drains {
		since, ok := l.moving[t.Name]
		if !ok {
			since = l.clock.Now()
		}
		moving[t.Name] = since
		names = append(names, t.Name)
	}
	l.moving = moving
	l.fleet.SetMoving(names)
}

// idle reports whether a server that is being drained has no attempts left.
func (l *Leader) idle(t Target) bool {
	report, err := l.engines.Report(t.Addr, orderTimeout)
	return err == nil && report.Held == 0 && report.Running == 0 && report.Waiting == 0
}

func (l *Leader) send(t Target, fence uint64) {
	if _, _, held := l.lease.Held(); !held {
		return
	}
	err := l.engines.Order(t.Addr, engine.Order{
		Fence: fence, Model: t.Model, Version: t.Version, Layers: t.Layers, Total: t.Total,
	}, orderTimeout)
	l.stats.Counter("orders_total").Inc(1)
	fields := l.log.WithFields(logrus.Fields{"server": t.Name, "model": t.Model, "layers": t.Layers.String(), "fence": fence})
	if err != nil {
		l.stats.Counter("orders_failed_total").Inc(1)
		fields.WithError(err).Warn("order failed")
		return
	}
	fields.Info("order given")
}
