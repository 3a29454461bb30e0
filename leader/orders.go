package leader

import (
	"context"
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
	// orderTimeout limits the two calls that query a server and give it an order together, or a call that only queries it.
	orderTimeout = 500 * time.Millisecond
	// maxConcurrentOrders limits the servers that are called at the same time; an order takes two calls.
	maxConcurrentOrders = 16
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
	// unsent is true for an order that was not sent, since the server is busy or its entry is outdated.
	unsent bool
}

// checkPending forgets orders that the servers' entries show, and queries servers whose orders are uncertain or overdue.
func (t *serviceTerm) checkPending(ctx context.Context, servers []*backend.Server) {
	now := t.leader.clock.Now()
	var due []*backend.Server
	for _, s := range servers {
		id := s.Incarnation().String()
		p := t.pending[id]
		switch {
		case p == nil:
		case s.Layers() == p.layers:
			delete(t.pending, id)
		case p.uncertain && now.Sub(p.since) >= orderCheckDelay, now.Sub(p.since) >= p.timeout:
			due = append(due, s)
		}
	}
	t.checkOrders(ctx, due)
}

// checkOrders queries servers for the outcome of their orders.
func (t *serviceTerm) checkOrders(ctx context.Context, servers []*backend.Server) {
	reports := make([]*backend.Report, len(servers))
	t.concurrently(len(servers), func(i int) { reports[i] = t.report(ctx, servers[i]) })
	for i, s := range servers {
		t.checkOrder(s, reports[i])
	}
}

// report returns the report of an incarnation of a server, or nil without one.
func (t *serviceTerm) report(ctx context.Context, s *backend.Server) *backend.Report {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := t.leader.engines.Report(ctx, s.Addr())
	if err != nil || report.Born != s.Incarnation().Born {
		return nil
	}
	return &report
}

// checkOrder compares the order of a server with its report, which is nil if there is none.
func (t *serviceTerm) checkOrder(s *backend.Server, report *backend.Report) {
	id := s.Incarnation().String()
	p := t.pending[id]
	p.since = t.leader.clock.Now()
	if report == nil {
		// The server may be gone or have restarted, which its entry will show. Until then it counts as holding what it was
		// ordered to hold.
		return
	}
	t.orders[id] = report.Orders
	if report.Busy {
		// Whether the server is carrying out this order or another one shows only when it has finished.
		return
	}
	p.uncertain = false
	if report.Layers == p.layers {
		return
	}
	delete(t.pending, id)
	if p.unsent {
		return
	}
	t.leader.log.WithFields(logrus.Fields{
		"server": s.ID(), "layers": p.layers.String(), "holds": report.Layers.String(), "orders": report.Orders,
	}).Warn("order had no effect")
}

// concurrently calls a function for each of n servers, maxConcurrentOrders at a time, and returns when all calls have returned or panicked.
func (t *serviceTerm) concurrently(n int, call func(int)) {
	slots := make(chan struct{}, maxConcurrentOrders)
	var all sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		all.Add(1)
		go func() {
			defer all.Done()
			if !t.leader.guard.Call(partName, t.leader.work, func() { call(i) }) {
				t.callPanicked.Store(true)
			}
			<-slots
		}()
	}
	all.Wait()
}

// sendOrders sends the orders and records their outcomes.
func (t *serviceTerm) sendOrders(ctx context.Context, engine *catalog.Engine, orders []reasonedOrder, byID map[string]*backend.Server) {
	results := make([]outcome, len(orders))
	for i, o := range orders {
		// This stands if the call panics: the server may have taken the order.
		results[i] = outcome{t.expectedOrders(byID[o.ID]), backend.ErrNoAnswer}
	}
	t.concurrently(len(orders), func(i int) { results[i] = t.sendOrder(ctx, byID[orders[i].ID], orders[i].Order) })
	for i, o := range orders {
		t.recordOrder(ctx, engine, byID[o.ID], o, results[i])
	}
}

// reasonedOrder is an order with its reason.
type reasonedOrder struct {
	placement.Order
	reason placement.Reason
}

// refusalCause returns the cause of a refusal, for the name of a counter.
func refusalCause(err error) string {
	if errors.Is(err, backend.ErrStale) {
		return "stale"
	}
	return "other"
}

// outcome is what became of an order.
type outcome struct {
	// expect is the number of orders that the server had accepted before.
	expect int64
	err    error
}

// sendOrder queries the server and gives it the order if it can take it. The server's own count of orders goes with the order,
// since former leaders may have given some; the server thus accepts the order even if it was decided on an outdated entry, so that
// this is checked here. A server whose report cannot be read gets the order with the count that is known.
func (t *serviceTerm) sendOrder(ctx context.Context, s *backend.Server, o placement.Order) outcome {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	decidedOn := s.Layers()
	report, err := t.leader.engines.Report(ctx, s.Addr())
	expect := t.expectedOrders(s)
	switch {
	case errors.Is(err, backend.ErrNoAnswer), err == nil && report.Born != s.Incarnation().Born:
		return outcome{expect, errSilent}
	case err == nil && report.Busy:
		return outcome{report.Orders, errBusy}
	case err == nil && report.Layers != decidedOn:
		return outcome{report.Orders, outdatedEntryError{report.Layers}}
	case err == nil:
		expect = report.Orders
	}
	order := backend.PlaceOrder{Layers: o.Layers, ExpectOrders: expect, Cut: o.Moves && mayCut(s)}
	return outcome{expect, t.leader.engines.Place(ctx, s.Addr(), s.ID(), order)}
}

// mayCut reports whether an order may cut the streams that pass through a server. A server moves only to cover missing
// layers that keep its domain from serving, and waiting for the streams to end would keep them missing for longer. Streams
// whose later stage is cut get another server for it within a fraction of a second. Cutting at the first server of their
// paths would end the streams, so that such a server waits while they are handed over.
func mayCut(s *backend.Server) bool { return s.Layers().First > 0 }

// expectedOrders returns the number of orders that the server is known to have accepted.
func (t *serviceTerm) expectedOrders(s *backend.Server) int64 {
	return t.orders[s.Incarnation().String()]
}

// recordOrder logs an order and its outcome and keeps it as pending.
func (t *serviceTerm) recordOrder(ctx context.Context, engine *catalog.Engine, s *backend.Server, o reasonedOrder, result outcome) {
	l, err, id := t.leader, result.err, s.Incarnation().String()
	t.orders[id] = result.expect
	if t.holdBack(s, o.Order, err) {
		return
	}
	l.stats.Counter("orders_total").Inc(1)
	l.stats.Counter("orders_" + string(o.reason) + "_total").Inc(1)
	load := time.Duration(float64(engine.LoadTime) * float64(o.Layers.Count()) / float64(engine.Layers))
	p := &pendingOrder{layers: o.Layers, since: l.clock.Now(), timeout: 2*load + orderSlack}
	fields := logrus.Fields{
		"server": s.ID(), "address": s.Addr(), "layers": o.Layers.String(), "moves": o.Moves, "reason": string(o.reason),
		"expect_orders": result.expect, "lease": l.lease.grant.Lease,
	}
	switch {
	case err == nil:
		t.pending[id] = p
		t.orders[id] = result.expect + 1
		l.log.WithFields(fields).Info("order given")
	case errors.Is(err, backend.ErrNoAnswer):
		l.stats.Counter("orders_unanswered_total").Inc(1)
		p.uncertain = true
		t.pending[id] = p
		l.log.WithFields(fields).WithError(err).Warn("order without an answer")
	default:
		l.stats.Counter("orders_refused_total").Inc(1)
		l.stats.Counter("orders_refused_" + refusalCause(err) + "_total").Inc(1)
		l.log.WithFields(fields).WithError(err).Warn("order refused")
		// A server that is carrying out an order of a former leader refuses all others until it has finished.
		p.uncertain = true
		t.pending[id] = p
		t.checkOrder(s, t.report(ctx, s))
	}
}
