package leader

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/placement"
)

// serviceTerm holds what a leader knows of its orders to the servers of one chained service, and of these servers.
type serviceTerm struct {
	leader *Leader
	// pending holds the orders under way by incarnation.
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
	// silent holds, by incarnation, the servers that did not answer the query before an order.
	silent map[string]silence
	// coverage is the coverage that was last logged.
	coverage []placement.Coverage
	planner  *placement.Planner
	layouts  layoutLog
	// callPanicked is true once a call to a server has panicked.
	callPanicked atomic.Bool
	// heldBack counts orders for the next line on those that are held back.
	heldBack heldBackCount
}

func newServiceTerm(l *Leader) *serviceTerm {
	return &serviceTerm{
		leader: l, pending: map[string]*pendingOrder{}, orders: map[string]int64{}, knownSince: map[string]time.Time{},
		lastArrival: l.clock.Now(), arrivals: map[string]arrivals{},
		silent: map[string]silence{}, planner: placement.NewPlanner(), layouts: newLayoutLog(l.log, l.stats),
	}
}

// place gives the servers of one service the orders that are due.
func (t *serviceTerm) place(ctx context.Context, engine *catalog.Engine, servers []*backend.Server) {
	t.checkPending(ctx, servers)
	t.trackServers(servers)
	byID := make(map[string]*backend.Server, len(servers))
	var available []placement.Server
	for _, s := range servers {
		byID[s.Incarnation().String()] = s
		if s.Leaving() || s.PresumedEnded() || s.Unreachable() {
			continue
		}
		available = append(available, t.projected(engine, s))
	}
	fleet := placement.NewFleet(engine, available)
	available = fleet.Servers()
	coverage := t.planner.Summary(fleet)
	t.layouts.record(engine, t.planner.Layouts(fleet))
	t.logCoverage(engine, coverage)
	missing := missingShares(engine, coverage)
	t.keepInPlace(available, missing)
	t.reserveReplacements(available, missing)
	if !t.mayGiveOrders(available, missing) {
		return
	}
	orders := t.planner.Decide(fleet)
	t.sendOrders(ctx, engine, withReasons(available, orders), byID)
}

// withReasons returns the orders with their reasons.
func withReasons(servers []placement.Server, orders []placement.Order) []reasonedOrder {
	byID := make(map[string]*placement.Server, len(servers))
	for i := range servers {
		byID[servers[i].ID] = &servers[i]
	}
	out := make([]reasonedOrder, 0, len(orders))
	for _, o := range orders {
		out = append(out, reasonedOrder{Order: o, reason: placement.ReasonFor(byID[o.ID], o)})
	}
	return out
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
func (t *serviceTerm) logCoverage(engine *catalog.Engine, coverage []placement.Coverage) {
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
func (t *serviceTerm) warnOfShortage(engine *catalog.Engine, c placement.Coverage) {
	if c.Domain == "" || c.Short == 0 || c.Empty == c.Servers {
		return
	}
	t.leader.log.WithFields(logrus.Fields{
		"model": engine.Model, "of_domain": c.Domain, "servers": c.Servers, "short_layers": c.Short, "short_mb": c.ShortMB,
	}).Warn("domain too small for a copy of the model with the usual room")
}

// keepInPlace pins the servers of domains in which more servers are likely to appear soon, so that none moves for layers that
// these may bring back.
func (t *serviceTerm) keepInPlace(servers []placement.Server, missing map[string]float64) {
	now := t.leader.clock.Now()
	for i := range servers {
		s := &servers[i]
		s.Pinned = t.arrivals[s.Domain].expectsMore(now, missing[s.Domain])
	}
}

// reserveReplacements reserves the empty servers that may have been started to replace others: a release starts the new
// server before it stops the old one. A domain that lacks most of a model needs all of its servers at once, so that none are
// reserved there.
func (t *serviceTerm) reserveReplacements(servers []placement.Server, missing map[string]float64) {
	now := t.leader.clock.Now()
	for i := range servers {
		s := &servers[i]
		s.Reserved = s.Layers.Count() == 0 && missing[s.Domain] <= mostlyMissing && now.Sub(t.knownSince[s.ID]) < replacementWait
	}
}

// projected returns a server with the layers that it will hold when the order under way is done.
func (t *serviceTerm) projected(engine *catalog.Engine, s *backend.Server) placement.Server {
	v := placement.Server{ID: s.Incarnation().String(), Domain: s.Domain(), Kind: engine.Kind(s.Kind()), Layers: s.Layers(), Settled: true}
	if t.leader.clock.Now().Before(t.silent[v.ID].until) {
		v.Settled = false
	}
	if p := t.pending[v.ID]; p != nil {
		v.Layers, v.Settled = p.layers, false
	}
	return v
}

// trackServers records which servers have appeared since the last round and forgets those that are gone.
func (t *serviceTerm) trackServers(servers []*backend.Server) {
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
			delete(t.silent, id)
		}
	}
}

// mayGiveOrders reports whether orders may be given now. While an empty server is in a domain that lacks most of a model,
// they wait for a quiet period, but no longer than a maximum; both are longer for a cold service. Otherwise they need not wait:
// layers that are missing are given to the servers that are there.
func (t *serviceTerm) mayGiveOrders(servers []placement.Server, missing map[string]float64) bool {
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
