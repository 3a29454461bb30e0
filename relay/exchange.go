package relay

import (
	"context"
	"sync"
	"time"

	"junctioncross/demand"
	"junctioncross/membership"
	"junctioncross/retry"
	"junctioncross/supervise"
)

const (
	// exchangePeriod is how often a relay fetches the totals of the other domains.
	exchangePeriod = 400 * time.Millisecond
	// maxExchangeBackoff is the longest time for which a relay is not asked after failures; a build without this call fails each time.
	maxExchangeBackoff = 5 * time.Second
	// unpolledTime is how long after the last answer to a poll with new totals of its domain an instance exchanges load reports with
	// its relay by a call of its own: longer than a relay holds a poll. A relay that has lost the store answers no polls, but knows
	// the load.
	unpolledTime = pollHold + 200*time.Millisecond
	// newTotalsAge is the greatest age of totals that count as new when a poll brings them.
	newTotalsAge = demand.FreshTime / 2
	// ownCallPeriod is the least time between two of these calls. It is a little shorter than two exchangePeriods, so that a call is
	// made at every second tick.
	ownCallPeriod = 2*exchangePeriod - 100*time.Millisecond
	// firstCallDelay is how long after its start an instance makes no such calls.
	firstCallDelay = 5 * time.Second
)

// Exchange fetches the totals of the other domains from their relays while this instance is a relay or serves as one. Other
// instances exchange load reports with their relay while it answers no polls.
type Exchange struct {
	source *Source

	mu sync.Mutex
	// backoffs says until when relays that failed are not asked, by address.
	backoffs map[string]backoff
}

// NewExchange returns an Exchange for a Source and fetches totals until ctx ends.
func NewExchange(ctx context.Context, source *Source) *Exchange {
	e := &Exchange{source: source, backoffs: map[string]backoff{}}
	source.setLoadDue(firstCallDelay)
	ticks := source.clock.Subscribe(exchangePeriod)
	go func() { source.guard.OnTicks(ctx, partName, ticks, func() { e.fetchAll(ctx) }) }()
	return e
}

// fetchAll fetches the totals of each other domain if this instance is a relay or has reports of other instances, and exchanges load
// reports with the relay of its own domain if that is due.
func (e *Exchange) fetchAll(ctx context.Context) {
	s := e.source
	now := s.clock.Now()
	if !s.usesRelays() || len(s.fleet.Key()) == 0 {
		return
	}
	e.forget(now)
	relaying := s.isRelay() || s.loads.Reporters(now) > 0
	var all sync.WaitGroup
	for domain, list := range ranked(s.fleet.Members()) {
		q, due := totalsRequest{}, relaying
		if domain == s.self.Domain {
			q, due = e.ownRequest(now)
		}
		if due {
			all.Go(func() { s.guard.Call(partName, supervise.NoWork, func() { e.fetch(ctx, list, q) }) })
		}
	}
	all.Wait()
}

// ownRequest returns the request to the relay of the own domain, and whether it is due. It is also made without load reports while no
// configuration is confirmed, so that ends reach all instances without the store.
func (e *Exchange) ownRequest(now time.Time) (totalsRequest, bool) {
	s := e.source
	if s.isRelay() || now.Sub(s.begun) < time.Duration(s.loadDue.Load()) {
		return totalsRequest{}, false
	}
	load := s.ownLoad(now)
	if load == nil && s.fresh() {
		return totalsRequest{}, false
	}
	s.setLoadDue(ownCallPeriod)
	return totalsRequest{Load: load, Ends: s.ends.Unpublished()}, true
}

// fetch fetches totals from the relay of a domain or, if that fails or is backed off, from the standby relay. One that failed last
// time is asked along with the next one, since the totals would become too old during a second timeout.
func (e *Exchange) fetch(ctx context.Context, list []membership.Instance, q totalsRequest) {
	var all sync.WaitGroup
	defer all.Wait()
	for _, m := range list[:min(ownRelaysAsked, len(list))] {
		if m.Name == e.source.self.Name {
			continue
		}
		switch allowed, failed := e.mayAsk(m.Addr, e.source.clock.Now()); {
		case !allowed:
		case failed:
			all.Go(func() { e.source.guard.Call(partName, supervise.NoWork, func() { e.ask(ctx, m.Addr, q) }) })
		case e.ask(ctx, m.Addr, q):
			return
		}
	}
}

// ask fetches totals from an instance and reports whether it answered.
func (e *Exchange) ask(ctx context.Context, addr string, q totalsRequest) bool {
	s := e.source
	ctx, cancel := s.clock.WithTimeout(ctx, exchangePeriod)
	defer cancel()
	reply, err := s.peers.totals(ctx, addr, q)
	e.note(addr, err)
	if err != nil {
		s.stats.Counter("totals_not_fetched_total").Inc(1)
		return false
	}
	s.addTotals(reply.Totals)
	s.receiveEnds(reply.Ends)
	return true
}

// mayAsk reports whether an instance may be asked now, and whether it failed last time.
func (e *Exchange) mayAsk(addr string, now time.Time) (allowed, failed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.backoffs[addr]
	return !now.Before(b.until), b.failures > 0
}

// note records whether a relay answered.
func (e *Exchange) note(addr string, err error) {
	now := e.source.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		delete(e.backoffs, addr)
		return
	}
	failures := e.backoffs[addr].failures
	until := now.Add(retry.Backoff(exchangePeriod, maxExchangeBackoff, failures))
	e.backoffs[addr] = backoff{until: until, failures: failures + 1}
}

// forget drops the back-offs that ended long ago, so that those of instances that have left don't pile up.
func (e *Exchange) forget(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for addr, b := range e.backoffs {
		if now.Sub(b.until) > maxExchangeBackoff {
			delete(e.backoffs, addr)
		}
	}
}
