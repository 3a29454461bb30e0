package leader

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/models"
	"junctioncross/placement"
)

const (
	// orderTimeout limits a call that gives an order to a server or queries its state.
	orderTimeout = 500 * time.Millisecond
	// maxConcurrentOrders limits the orders that are sent at the same time.
	maxConcurrentOrders = 8
	// orderSlack is how much longer than the load time an order may take to show in the server's entry: one or two
	// heartbeats.
	orderSlack = 3 * time.Second
	// orderCheckDelay is how long after an order without a known outcome the server is queried for it.
	orderCheckDelay = 700 * time.Millisecond
)

// pendingOrder is an order that the server's entry does not show yet.
type pendingOrder struct {
	layers models.Layers
	// since is when the order was sent or its server was last queried.
	since time.Time
	// timeout is how long after since the order may take before the server is queried.
	timeout time.Duration
	// uncertain is true while it is unknown whether the server accepted the order.
	uncertain bool
}

// term holds what a leader knows of its orders and of the servers; it ends when the instance loses the lease.
type term struct {
	leader  *Leader
	pending map[string]*pendingOrder
	// orders holds the number of orders that each incarnation of a server is known to have accepted; one that is not listed
	// has accepted none.
	orders map[string]int64
	// knownSince holds since when each server of the last round has been known, lastArrival when one last appeared, and
	// waitingSince since when empty servers have been waiting for a quiet period; zero means that none wait.
	knownSince   map[string]time.Time
	lastArrival  time.Time
	waitingSince time.Time
	// arrivals records when servers appeared in each domain.
	arrivals map[string]arrivals
	// coverage is what was last logged.
	coverage []placement.Coverage
	planner  *placement.Planner
	layouts  layoutLog
}

func newTerm(l *Leader) *term {
	return &term{
		leader: l, pending: map[string]*pendingOrder{}, orders: map[string]int64{}, knownSince: map[string]time.Time{},
		lastArrival: l.clock.Now(), arrivals: map[string]arrivals{}, planner: placement.NewPlanner(), layouts: newLayoutLog(l.log, l.stats),
	}
}

// round gives the orders that are due to the servers of all services with a chained engine.
func (t *term) round(ctx context.Context) {
	snapshot := t.leader.fleet.Current()
	for _, group := range snapshot.Groups() {
		if engine := group.Service().Engine; engine != nil {
			t.place(ctx, engine, group.Servers())
		}
	}
}

// place gives the servers of one service the orders that are due.
func (t *term) place(ctx context.Context, engine *catalog.Engine, servers []*backend.Server) {
	t.checkPending(ctx, servers)
	t.trackServers(servers)
	byID := make(map[string]*backend.Server, len(servers))
	var available []placement.Server
	for _, s := range servers {
		byID[s.Incarnation().String()] = s
		if s.Leaving() || s.Suspected(t.leader.clock.Now()) {
			continue
		}
		available = append(available, t.projected(engine, s))
	}
	coverage := t.planner.Summary(engine, available)
	t.layouts.record(engine, t.planner.Layouts(engine, available))
	t.logCoverage(engine, coverage)
	missing := missingShares(engine, coverage)
	t.keepInPlace(available, missing)
	t.reserveReplacements(available, missing)
	if !t.mayGiveOrders(available, missing) {
		return
	}
	orders := t.planner.Decide(engine, available)
	t.sendOrders(ctx, engine, orders, byID)
}

// missingShares returns the fraction of a model's layers that each domain lacks.
func missingShares(engine *catalog.Engine, coverage []placement.Coverage) map[string]float64 {
	missing := make(map[string]float64, len(coverage))
	for _, c := range coverage {
		missing[c.Domain] = float64(c.Missing) / float64(engine.Layers)
	}
	return missing
}

// logCoverage logs the coverage of the fleet and of each domain when it has changed.
func (t *term) logCoverage(engine *catalog.Engine, coverage []placement.Coverage) {
	if slices.Equal(coverage, t.coverage) {
		return
	}
	t.coverage = coverage
	for _, c := range coverage {
		t.leader.log.WithFields(logrus.Fields{
			"model": engine.Model, "of_domain": c.Domain, "missing": c.Missing, "room": c.Room, "servers": c.Servers,
			"empty": c.Empty, "orders_under_way": len(t.pending), "wanted": c.Wanted, "copies": c.Copies, "rate": c.Rate,
			"after_loss": c.RateAfterLoss,
		}).Info("coverage")
		t.warnOfShortage(engine, c)
	}
}

// warnOfShortage logs by how much the servers of a domain are too few for one copy of the model with the usual room: such a
// domain serves less than it should, and planned work may leave layers without a holder. A domain whose servers all hold
// nothing is just starting, and more servers will follow, so that it is not reported.
func (t *term) warnOfShortage(engine *catalog.Engine, c placement.Coverage) {
	if c.Domain == "" || c.Short == 0 || c.Empty == c.Servers {
		return
	}
	t.leader.log.WithFields(logrus.Fields{
		"model": engine.Model, "of_domain": c.Domain, "servers": c.Servers, "short_layers": c.Short, "short_mb": c.ShortMB,
	}).Warn("domain too small for a copy of the model with the usual room")
}

// keepInPlace pins the servers of domains in which more servers are likely to appear soon, so that none moves for layers that
// these may bring back.
func (t *term) keepInPlace(servers []placement.Server, missing map[string]float64) {
	now := t.leader.clock.Now()
	for i := range servers {
		s := &servers[i]
		s.Pinned = t.arrivals[s.Domain].expectsMore(now, missing[s.Domain])
	}
}

// reserveReplacements reserves the empty servers that may have been started to replace others: a release starts the new
// server before it stops the old one. A domain that lacks most of a model needs all of its servers at once, so that none are
// reserved there.
func (t *term) reserveReplacements(servers []placement.Server, missing map[string]float64) {
	now := t.leader.clock.Now()
	for i := range servers {
		s := &servers[i]
		s.Reserved = s.Layers.Count() == 0 && missing[s.Domain] <= mostlyMissing && now.Sub(t.knownSince[s.ID]) < replacementWait
	}
}

// projected returns a server with the layers that it will hold when the order under way is done.
func (t *term) projected(engine *catalog.Engine, s *backend.Server) placement.Server {
	v := placement.Server{ID: s.Incarnation().String(), Domain: s.Domain(), Kind: engine.Kind(s.Kind()), Layers: s.Layers(), Settled: true}
	if p := t.pending[s.Incarnation().String()]; p != nil {
		v.Layers, v.Settled = p.layers, false
	}
	return v
}

// trackServers records which servers have appeared since the last round and forgets those that are gone.
func (t *term) trackServers(servers []*backend.Server) {
	now := t.leader.clock.Now()
	present := make(map[string]bool, len(servers))
	for _, s := range servers {
		present[s.Incarnation().String()] = true
		if t.knownSince[s.Incarnation().String()].IsZero() {
			t.knownSince[s.Incarnation().String()] = now
			t.lastArrival = now
			t.arrivals[s.Domain()] = t.arrivals[s.Domain()].add(now)
		}
	}
	for id := range t.knownSince {
		if !present[id] {
			delete(t.knownSince, id)
			delete(t.pending, id)
			delete(t.orders, id)
		}
	}
}

// mayGiveOrders reports whether orders may be given now. While an empty server is in a domain that lacks most of a model,
// they wait for a quiet period, but no longer than a maximum; both are longer for a cold service. Otherwise they need not wait:
// layers that are missing are given to the servers that are there.
func (t *term) mayGiveOrders(servers []placement.Server, missing map[string]float64) bool {
	now := t.leader.clock.Now()
	empty, cold := false, true
	for _, s := range servers {
		empty = empty || s.Settled && s.Layers.Count() == 0 && missing[s.Domain] > mostlyMissing
		cold = cold && s.Layers.Count() == 0
	}
	if !empty {
		t.waitingSince = time.Time{}
		return true
	}
	if t.waitingSince.IsZero() {
		t.waitingSince = now
	}
	if cold {
		return now.Sub(t.lastArrival) >= coldQuietTime || now.Sub(t.waitingSince) >= maxColdQuietWait
	}
	return now.Sub(t.lastArrival) >= quietTime || now.Sub(t.waitingSince) >= maxQuietWait
}

// checkPending forgets orders that the servers' entries show, and queries servers whose orders are uncertain or overdue.
func (t *term) checkPending(ctx context.Context, servers []*backend.Server) {
	now := t.leader.clock.Now()
	for _, s := range servers {
		p := t.pending[s.Incarnation().String()]
		switch {
		case p == nil:
		case s.Layers() == p.layers:
			delete(t.pending, s.Incarnation().String())
		case p.uncertain && now.Sub(p.since) >= orderCheckDelay, now.Sub(p.since) >= p.timeout:
			t.checkOrder(ctx, s, p)
		}
	}
}

// checkOrder queries a server for the outcome of its order.
func (t *term) checkOrder(ctx context.Context, s *backend.Server, p *pendingOrder) {
	l := t.leader
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := l.engines.Report(ctx, s.Addr())
	if err != nil || report.Born != s.Incarnation().Born {
		// The server may be gone or have restarted, which its entry will show. Until then it counts as holding what it was
		// ordered to hold.
		p.since = l.clock.Now()
		return
	}
	t.orders[s.Incarnation().String()] = report.Orders
	if report.Busy {
		// Whether the server is carrying out this order or another one shows only when it has finished.
		p.since = l.clock.Now()
		return
	}
	p.uncertain = false
	if report.Layers == p.layers {
		p.since = l.clock.Now()
		return
	}
	delete(t.pending, s.Incarnation().String())
	l.log.WithFields(logrus.Fields{
		"server": s.ID(), "layers": p.layers.String(), "holds": report.Layers.String(), "orders": report.Orders,
	}).Warn("order had no effect")
}

// sendOrders sends the orders, maxConcurrentOrders at a time, and records their outcomes.
func (t *term) sendOrders(ctx context.Context, engine *catalog.Engine, orders []placement.Order, byID map[string]*backend.Server) {
	results := make([]error, len(orders))
	slots := make(chan struct{}, maxConcurrentOrders)
	var all sync.WaitGroup
	for i, o := range orders {
		slots <- struct{}{}
		all.Add(1)
		go func() {
			defer all.Done()
			results[i] = t.sendOrder(ctx, byID[o.ID], o)
			<-slots
		}()
	}
	all.Wait()
	for i, o := range orders {
		t.recordOrder(ctx, engine, byID[o.ID], o, results[i])
	}
}

func (t *term) sendOrder(ctx context.Context, s *backend.Server, o placement.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	order := backend.PlaceOrder{Layers: o.Layers, ExpectOrders: t.expectedOrders(s), Cut: o.Moves && mayCut(s)}
	return t.leader.engines.Place(ctx, s.Addr(), s.ID(), order)
}

// mayCut reports whether an order may cut the streams that pass through a server. A server moves only to cover missing
// layers that keep its domain from serving, and waiting for the streams to end would keep them missing for longer. Streams
// whose later stage is cut get another server for it within a fraction of a second. Cutting at the first server of their
// paths would end the streams, so that such a server waits while they are handed over.
func mayCut(s *backend.Server) bool { return s.Layers().First > 0 }

// expectedOrders returns the number of orders that the server is known to have accepted.
func (t *term) expectedOrders(s *backend.Server) int64 { return t.orders[s.Incarnation().String()] }

// recordOrder logs an order and its outcome and keeps it as pending.
func (t *term) recordOrder(ctx context.Context, engine *catalog.Engine, s *backend.Server, o placement.Order, err error) {
	l := t.leader
	l.stats.Counter("orders_total").Inc(1)
	load := time.Duration(float64(engine.LoadTime) * float64(o.Layers.Count()) / float64(engine.Layers))
	p := &pendingOrder{layers: o.Layers, since: l.clock.Now(), timeout: 2*load + orderSlack}
	fields := logrus.Fields{
		"server": s.ID(), "address": s.Addr(), "layers": o.Layers.String(), "moves": o.Moves, "expect_orders": t.expectedOrders(s),
		"lease": l.lease.grant.Lease,
	}
	switch {
	case err == nil:
		t.pending[s.Incarnation().String()] = p
		t.orders[s.Incarnation().String()] = t.expectedOrders(s) + 1
		l.log.WithFields(fields).Info("order given")
	case errors.Is(err, backend.ErrNoAnswer):
		p.uncertain = true
		t.pending[s.Incarnation().String()] = p
		l.log.WithFields(fields).WithError(err).Warn("order without an answer")
	default:
		l.stats.Counter("orders_refused_total").Inc(1)
		l.log.WithFields(fields).WithError(err).Warn("order refused")
		// A server that is carrying out an order of a former leader refuses all others until it has finished.
		p.uncertain = true
		t.pending[s.Incarnation().String()] = p
		t.checkOrder(ctx, s, p)
	}
}
