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
	// orderTime bounds the call that gives an order.
	orderTime = 500 * time.Millisecond
	// ordersAtOnce bounds the calls under way.
	ordersAtOnce = 8
	// settleSlack is how much longer than its load an order may take to show in the server's entry: a heartbeat or two.
	settleSlack = 3 * time.Second
	// askAfter is how long after an order without an answer the server is asked what became of it.
	askAfter = 700 * time.Millisecond
)

// pending is an order that does not show yet in what its server says.
type pending struct {
	layers models.Layers
	at     time.Time
	// patience is how long the order may take.
	patience time.Duration
	// unsure is true while it is not known whether the server took the order.
	unsure bool
}

// work is what a leader remembers of its orders; it ends with its term.
type work struct {
	leader  *Leader
	pending map[string]*pending
	// orders holds the number of orders that each server is known to have taken; a fresh start has taken none.
	orders map[string]int64
	// known tells since when each server of the last round has been known, and changed when one last came.
	known   map[string]time.Time
	changed time.Time
	waiting time.Time
	// arrivals holds when servers last appeared in each domain.
	arrivals map[string]arrivals
	// coverage is the last coverage that was logged.
	coverage []placement.Coverage
}

func newWork(g *Leader) *work {
	return &work{
		leader: g, pending: map[string]*pending{}, orders: map[string]int64{}, known: map[string]time.Time{}, changed: g.clock.Now(),
		arrivals: map[string]arrivals{},
	}
}

func (w *work) round(ctx context.Context) {
	snapshot := w.leader.board.Current()
	for _, group := range snapshot.Groups() {
		if engine := group.Service().Engine; engine != nil {
			w.place(ctx, engine, group.Servers())
		}
	}
}

// place gives the orders that are due to the servers of one service.
func (w *work) place(ctx context.Context, engine *catalog.Engine, servers []*backend.Server) {
	w.settle(ctx, servers)
	w.noteChanges(servers)
	byID := make(map[string]*backend.Server, len(servers))
	var seen []placement.Server
	for _, s := range servers {
		byID[s.Incarnation().String()] = s
		if s.Leaving() || s.Suspected(w.leader.clock.Now()) {
			continue
		}
		seen = append(seen, w.view(engine, s))
	}
	coverage := placement.Summary(engine, seen)
	w.logCoverage(engine, coverage)
	missing := shares(engine, coverage)
	w.keepInPlace(seen, missing)
	w.awaitReplaced(seen, missing)
	if !w.calm(seen, missing) {
		return
	}
	orders := placement.Decide(engine, seen)
	w.give(ctx, engine, orders, byID)
}

// shares returns which part of a model's layers each domain lacks.
func shares(engine *catalog.Engine, coverage []placement.Coverage) map[string]float64 {
	missing := make(map[string]float64, len(coverage))
	for _, c := range coverage {
		missing[c.Domain] = float64(c.Missing) / float64(engine.Layers)
	}
	return missing
}

// logCoverage writes a line for each change of what is known of the holders.
func (w *work) logCoverage(engine *catalog.Engine, coverage []placement.Coverage) {
	if slices.Equal(coverage, w.coverage) {
		return
	}
	w.coverage = coverage
	for _, c := range coverage {
		w.leader.log.WithFields(logrus.Fields{
			"model": engine.Model, "of_domain": c.Domain, "missing": c.Missing, "room": c.Room, "servers": c.Servers,
			"empty": c.Empty, "orders_under_way": len(w.pending),
		}).Info("coverage")
		w.warnOfShortage(engine, c)
	}
}

// warnOfShortage says by how much the servers of a domain are too few for one copy of the model with the usual room: it serves less than
// it should then, and planned work may leave layers without a holder. A domain whose servers all hold nothing is about to start, and
// others will follow.
func (w *work) warnOfShortage(engine *catalog.Engine, c placement.Coverage) {
	if c.Domain == "" || c.Short == 0 || c.Empty == c.Servers {
		return
	}
	w.leader.log.WithFields(logrus.Fields{
		"model": engine.Model, "of_domain": c.Domain, "servers": c.Servers, "short_layers": c.Short, "short_mb": c.ShortMB,
	}).Warn("domain too small for a copy of the model with the usual room")
}

// keepInPlace marks the servers that shall not move, since others of their domain may be about to appear.
func (w *work) keepInPlace(servers []placement.Server, missing map[string]float64) {
	now := w.leader.clock.Now()
	for i := range servers {
		s := &servers[i]
		s.Pinned = w.arrivals[s.Domain].underWay(now, missing[s.Domain])
	}
}

// awaitReplaced marks the empty servers that may be there to replace others: a release starts the new server first. A domain that
// lacks most of a model needs all of its servers at once.
func (w *work) awaitReplaced(servers []placement.Server, missing map[string]float64) {
	now := w.leader.clock.Now()
	for i := range servers {
		s := &servers[i]
		s.Reserved = s.Layers.Count() == 0 && missing[s.Domain] <= cutOffShare && now.Sub(w.known[s.ID]) < replaceTime
	}
}

// view returns a server as it will be when the orders under way are done.
func (w *work) view(engine *catalog.Engine, s *backend.Server) placement.Server {
	v := placement.Server{ID: s.Incarnation().String(), Domain: s.Domain(), Kind: engine.Kind(s.Kind()), Layers: s.Layers(), Settled: true}
	if p := w.pending[s.Incarnation().String()]; p != nil {
		v.Layers, v.Settled = p.layers, false
	}
	return v
}

// noteChanges remembers when servers last came or went.
func (w *work) noteChanges(servers []*backend.Server) {
	now := w.leader.clock.Now()
	present := make(map[string]bool, len(servers))
	for _, s := range servers {
		present[s.Incarnation().String()] = true
		if w.known[s.Incarnation().String()].IsZero() {
			w.known[s.Incarnation().String()] = now
			w.changed = now
			w.arrivals[s.Domain()] = w.arrivals[s.Domain()].next(now)
		}
	}
	for id := range w.known {
		if !present[id] {
			delete(w.known, id)
			delete(w.pending, id)
			delete(w.orders, id)
		}
	}
}

// calm reports whether the empty servers of domains that lack most of a model may get layers now, or have waited long enough. What is
// missing elsewhere is given to whoever is there.
func (w *work) calm(servers []placement.Server, missing map[string]float64) bool {
	now := w.leader.clock.Now()
	empty, cold := false, true
	for _, s := range servers {
		empty = empty || s.Settled && s.Layers.Count() == 0 && missing[s.Domain] > cutOffShare
		cold = cold && s.Layers.Count() == 0
	}
	if !empty {
		w.waiting = time.Time{}
		return true
	}
	if w.waiting.IsZero() {
		w.waiting = now
	}
	if cold {
		return now.Sub(w.changed) >= coldCalm || now.Sub(w.waiting) >= coldPatience
	}
	return now.Sub(w.changed) >= calm || now.Sub(w.waiting) >= patience
}

// settle forgets orders that show in the servers' entries or took too long.
func (w *work) settle(ctx context.Context, servers []*backend.Server) {
	now := w.leader.clock.Now()
	for _, s := range servers {
		p := w.pending[s.Incarnation().String()]
		switch {
		case p == nil:
		case s.Layers() == p.layers:
			delete(w.pending, s.Incarnation().String())
		case p.unsure && now.Sub(p.at) >= askAfter, now.Sub(p.at) >= p.patience:
			w.ask(ctx, s, p)
		}
	}
}

// ask finds out what became of an order.
func (w *work) ask(ctx context.Context, s *backend.Server, p *pending) {
	g := w.leader
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	report, err := g.caller.Report(ctx, s.Addr())
	if err != nil || report.Born != s.Incarnation().Born {
		// The server may be gone, or have started again; its entry will tell. Until then it keeps what it was ordered to hold.
		p.at = g.clock.Now()
		return
	}
	w.orders[s.Incarnation().String()] = report.Orders
	if report.Busy {
		// Whether this order or another one is carried out shows at its end.
		p.at = g.clock.Now()
		return
	}
	p.unsure = false
	if report.Layers == p.layers {
		p.at = g.clock.Now()
		return
	}
	delete(w.pending, s.Incarnation().String())
	g.log.WithFields(logrus.Fields{
		"server": s.ID(), "layers": p.layers.String(), "holds": report.Layers.String(), "orders": report.Orders,
	}).Warn("order had no effect")
}

// give sends orders, some at a time.
func (w *work) give(ctx context.Context, engine *catalog.Engine, orders []placement.Order, byID map[string]*backend.Server) {
	results := make([]error, len(orders))
	slots := make(chan struct{}, ordersAtOnce)
	var all sync.WaitGroup
	for i, o := range orders {
		slots <- struct{}{}
		all.Add(1)
		go func() {
			defer all.Done()
			results[i] = w.send(ctx, byID[o.ID], o)
			<-slots
		}()
	}
	all.Wait()
	for i, o := range orders {
		w.note(ctx, engine, byID[o.ID], o, results[i])
	}
}

func (w *work) send(ctx context.Context, s *backend.Server, o placement.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	order := backend.PlaceOrder{Layers: o.Layers, ExpectOrders: w.expected(s), Cut: o.Moves && mayCut(s)}
	return w.leader.caller.Place(ctx, s.Addr(), s.ID(), order)
}

// mayCut reports whether an order may break off what passes a server. A server moves only to fill a hole that keeps its domain from
// serving, and waiting for what passes it would leave the hole open for longer: parts behind the first are replaced in a fraction of a
// second. A first part takes its streams with it when it cuts them; they are handed over while it waits.
func mayCut(s *backend.Server) bool { return s.Layers().First > 0 }

// expected returns the number of orders that the server is known to have taken.
func (w *work) expected(s *backend.Server) int64 { return w.orders[s.Incarnation().String()] }

// note remembers an order and its outcome.
func (w *work) note(ctx context.Context, engine *catalog.Engine, s *backend.Server, o placement.Order, err error) {
	g := w.leader
	g.stats.Counter("orders_total").Inc(1)
	load := time.Duration(float64(engine.LoadTime) * float64(o.Layers.Count()) / float64(engine.Layers))
	p := &pending{layers: o.Layers, at: g.clock.Now(), patience: 2*load + settleSlack}
	fields := logrus.Fields{
		"server": s.ID(), "address": s.Addr(), "layers": o.Layers.String(), "moves": o.Moves, "expect_orders": w.expected(s),
		"lease": g.lease.grant.Lease,
	}
	switch {
	case err == nil:
		w.pending[s.Incarnation().String()] = p
		w.orders[s.Incarnation().String()] = w.expected(s) + 1
		g.log.WithFields(fields).Info("order given")
	case errors.Is(err, backend.ErrNoAnswer):
		p.unsure = true
		w.pending[s.Incarnation().String()] = p
		g.log.WithFields(fields).WithError(err).Warn("order without an answer")
	default:
		g.stats.Counter("orders_refused_total").Inc(1)
		g.log.WithFields(fields).WithError(err).Warn("order refused")
		// A server that carries out an order of a former leader refuses all others until it has done so.
		p.unsure = true
		w.pending[s.Incarnation().String()] = p
		w.ask(ctx, s, p)
	}
}
