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
	// orderTimeout bounds the call that gives an order.
	orderTimeout = 500 * time.Millisecond
	// maxConcurrentOrders bounds the calls under way.
	maxConcurrentOrders = 8
	// orderSlack is how much longer than its load an order may take to show in the server's entry: a heartbeat or two.
	orderSlack = 3 * time.Second
	// orderCheckDelay is how long after an order without an answer the server is asked what became of it.
	orderCheckDelay = 700 * time.Millisecond
)

// pendingOrder is an order that does not show yet in what its server says.
type pendingOrder struct {
	layers models.Layers
	since  time.Time
	// timeout is how long the order may take.
	timeout time.Duration
	// uncertain is true while it is not known whether the server took the order.
	uncertain bool
}

// term is what a leader remembers of its orders; it ends with its term.
type term struct {
	leader  *Leader
	pending map[string]*pendingOrder
	// orders holds the number of orders that each server is known to have taken; a fresh start has taken none.
	orders map[string]int64
	// knownSince tells since when each server of the last round has been knownSince, and changed when one last came.
	knownSince   map[string]time.Time
	lastArrival  time.Time
	waitingSince time.Time
	// arrivals holds when servers last appeared in each domain.
	arrivals map[string]arrivals
	// coverage is the last coverage that was logged.
	coverage []placement.Coverage
}

func newTerm(g *Leader) *term {
	return &term{
		leader: g, pending: map[string]*pendingOrder{}, orders: map[string]int64{}, knownSince: map[string]time.Time{}, lastArrival: g.clock.Now(),
		arrivals: map[string]arrivals{},
	}
}

func (t *term) round(ctx context.Context) {
	snapshot := t.leader.fleet.Current()
	for _, group := range snapshot.Groups() {
		if engine := group.Service().Engine; engine != nil {
			t.place(ctx, engine, group.Servers())
		}
	}
}

// place gives the orders that are due to the servers of one service.
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
	coverage := placement.Summary(engine, available)
	t.logCoverage(engine, coverage)
	missing := missingShares(engine, coverage)
	t.keepInPlace(available, missing)
	t.reserveReplacements(available, missing)
	if !t.mayGiveOrders(available, missing) {
		return
	}
	orders := placement.Decide(engine, available)
	t.sendOrders(ctx, engine, orders, byID)
}

// missingShares returns which part of a model's layers each domain lacks.
func missingShares(engine *catalog.Engine, coverage []placement.Coverage) map[string]float64 {
	missing := make(map[string]float64, len(coverage))
	for _, c := range coverage {
		missing[c.Domain] = float64(c.Missing) / float64(engine.Layers)
	}
	return missing
}

// logCoverage writes a line for each change of what is known of the holders.
func (t *term) logCoverage(engine *catalog.Engine, coverage []placement.Coverage) {
	if slices.Equal(coverage, t.coverage) {
		return
	}
	t.coverage = coverage
	for _, c := range coverage {
		t.leader.log.WithFields(logrus.Fields{
			"model": engine.Model, "of_domain": c.Domain, "missing": c.Missing, "room": c.Room, "servers": c.Servers,
			"empty": c.Empty, "orders_under_way": len(t.pending),
		}).Info("coverage")
		t.warnOfShortage(engine, c)
	}
}

// warnOfShortage says by how much the servers of a domain are too few for one copy of the model with the usual room: it serves less than
// it should then, and planned work may leave layers without a holder. A domain whose servers all hold nothing is about to start, and
// others will follow.
func (t *term) warnOfShortage(engine *catalog.Engine, c placement.Coverage) {
	if c.Domain == "" || c.Short == 0 || c.Empty == c.Servers {
		return
	}
	t.leader.log.WithFields(logrus.Fields{
		"model": engine.Model, "of_domain": c.Domain, "servers": c.Servers, "short_layers": c.Short, "short_mb": c.ShortMB,
	}).Warn("domain too small for a copy of the model with the usual room")
}

// keepInPlace marks the servers that shall not move, since others of their domain may be about to appear.
func (t *term) keepInPlace(servers []placement.Server, missing map[string]float64) {
	now := t.leader.clock.Now()
	for i := range servers {
		s := &servers[i]
		s.Pinned = t.arrivals[s.Domain].expectsMore(now, missing[s.Domain])
	}
}

// reserveReplacements marks the empty servers that may be there to replace others: a release starts the new server first. A domain that
// lacks most of a model needs all of its servers at once.
func (t *term) reserveReplacements(servers []placement.Server, missing map[string]float64) {
	now := t.leader.clock.Now()
	for i := range servers {
		s := &servers[i]
		s.Reserved = s.Layers.Count() == 0 && missing[s.Domain] <= mostlyMissing && now.Sub(t.knownSince[s.ID]) < replacementWait
	}
}

// projected returns a server as it will be when the orders under way are done.
func (t *term) projected(engine *catalog.Engine, s *backend.Server) placement.Server {
	v := placement.Server{ID: s.Incarnation().String(), Domain: s.Domain(), Kind: engine.Kind(s.Kind()), Layers: s.Layers(), Settled: true}
	if p := t.pending[s.Incarnation().String()]; p != nil {
		v.Layers, v.Settled = p.layers, false
	}
	return v
}

// trackServers remembers when servers last came or went.
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

// mayGiveOrders reports whether the empty servers of domains that lack most of a model may get layers now, or have waited long enough. What is
// missing elsewhere is given to whoever is there.
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

// checkPending forgets orders that show in the servers' entries or took too long.
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

// checkOrder finds out what became of an order.
func (t *term) checkOrder(ctx context.Context, s *backend.Server, p *pendingOrder) {
	g := t.leader
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := g.caller.Report(ctx, s.Addr())
	if err != nil || report.Born != s.Incarnation().Born {
		// The server may be gone, or have started again; its entry will tell. Until then it keeps what it was ordered to hold.
		p.since = g.clock.Now()
		return
	}
	t.orders[s.Incarnation().String()] = report.Orders
	if report.Busy {
		// Whether this order or another one is carried out shows at its end.
		p.since = g.clock.Now()
		return
	}
	p.uncertain = false
	if report.Layers == p.layers {
		p.since = g.clock.Now()
		return
	}
	delete(t.pending, s.Incarnation().String())
	g.log.WithFields(logrus.Fields{
		"server": s.ID(), "layers": p.layers.String(), "holds": report.Layers.String(), "orders": report.Orders,
	}).Warn("order had no effect")
}

// sendOrders sends orders, some at a time.
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
	return t.leader.caller.Place(ctx, s.Addr(), s.ID(), order)
}

// mayCut reports whether an order may break off what passes a server. A server moves only to fill a hole that keeps its domain from
// serving, and waiting for what passes it would leave the hole open for longer: parts behind the first are replaced in a fraction of a
// second. A first part takes its streams with it when it cuts them; they are handed over while it waits.
func mayCut(s *backend.Server) bool { return s.Layers().First > 0 }

// expectedOrders returns the number of orders that the server is known to have taken.
func (t *term) expectedOrders(s *backend.Server) int64 { return t.orders[s.Incarnation().String()] }

// recordOrder remembers an order and its outcome.
func (t *term) recordOrder(ctx context.Context, engine *catalog.Engine, s *backend.Server, o placement.Order, err error) {
	g := t.leader
	g.stats.Counter("orders_total").Inc(1)
	load := time.Duration(float64(engine.LoadTime) * float64(o.Layers.Count()) / float64(engine.Layers))
	p := &pendingOrder{layers: o.Layers, since: g.clock.Now(), timeout: 2*load + orderSlack}
	fields := logrus.Fields{
		"server": s.ID(), "address": s.Addr(), "layers": o.Layers.String(), "moves": o.Moves, "expect_orders": t.expectedOrders(s),
		"lease": g.lease.grant.Lease,
	}
	switch {
	case err == nil:
		t.pending[s.Incarnation().String()] = p
		t.orders[s.Incarnation().String()] = t.expectedOrders(s) + 1
		g.log.WithFields(fields).Info("order given")
	case errors.Is(err, backend.ErrNoAnswer):
		p.uncertain = true
		t.pending[s.Incarnation().String()] = p
		g.log.WithFields(fields).WithError(err).Warn("order without an answer")
	default:
		g.stats.Counter("orders_refused_total").Inc(1)
		g.log.WithFields(fields).WithError(err).Warn("order refused")
		// A server that carries out an order of a former leader refuses all others until it has done so.
		p.uncertain = true
		t.pending[s.Incarnation().String()] = p
		t.checkOrder(ctx, s, p)
	}
}
