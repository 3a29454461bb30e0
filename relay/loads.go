package relay

import (
	"context"
	"slices"
	"time"

	"junctioncross/demand"
	"junctioncross/follow"
	"junctioncross/keys"
	"junctioncross/lenient"
	"junctioncross/link"
	"junctioncross/quarantine"
)

// Loads holds the load reports of this instance, those that it received as a relay, and the totals of domains.
type Loads interface {
	// Own returns the reports of this instance, and OwnAge how long ago they were made.
	Own(now time.Time) []demand.Report
	OwnAge(now time.Time) time.Duration
	// Reporters returns the number of other instances of the domain whose reports are known.
	Reporters(now time.Time) int
	// AddReports replaces the reports of another instance of the domain, and AddTotals the totals of domains. Both return why
	// some were dropped.
	AddReports(instance string, reports []demand.Report, age time.Duration, now time.Time) []demand.Reason
	AddTotals(totals []demand.Totals, now time.Time) []demand.Reason
	// All returns all totals that are known, and LocalTotals those of the own domain from the reports.
	All(now time.Time) []demand.Totals
	LocalTotals(now time.Time) []demand.Totals
}

// ownLoad is what an instance reports of its load.
type ownLoad struct {
	Name    string                      `cbor:"1,keyasint"`
	Domain  string                      `cbor:"2,keyasint"`
	Reports lenient.List[demand.Report] `cbor:"3,keyasint"`
	// Age is how long ago the reports were made.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// totalsRequest requests totals: from an instance of the same domain all that it knows, from another one those of its domain.
type totalsRequest struct {
	// Load holds the own load reports of an instance of the same domain.
	Load *ownLoad `cbor:"1,keyasint,omitempty"`
	// Ends holds the terminations of servers that an instance of the same domain has not yet written to the store.
	Ends lenient.List[quarantine.End] `cbor:"2,keyasint,omitempty"`
}

// totalsReply is the answer to a totalsRequest.
type totalsReply struct {
	Totals lenient.List[demand.Totals] `cbor:"1,keyasint,omitempty"`
	// Ends holds the terminations of servers that the answering instance knows of and that are not yet written to the store.
	Ends lenient.List[quarantine.End] `cbor:"2,keyasint,omitempty"`
}

// usesRelays reports whether the fleet uses relays; load reports are sent only then.
func (s *Source) usesRelays() bool {
	return s.self.usesRelays(len(s.fleet.Members()), s.fleet.Instances())
}

// attachLoad adds the own load reports to a poll of the servers feed.
func (s *Source) attachLoad(p *poll, now time.Time) {
	if p.Feed == follow.FeedServers && !p.Full && s.usesRelays() {
		p.Load = s.ownLoad(now)
	}
}

// ownLoad returns the own load reports, or nil if there are none.
func (s *Source) ownLoad(now time.Time) *ownLoad {
	reports := s.loads.Own(now)
	if len(reports) == 0 {
		return nil
	}
	return &ownLoad{Name: s.self.Name, Domain: s.self.Domain, Reports: reports, Age: s.loads.OwnAge(now)}
}

// addPolledLoad stores the load reports in a poll of an instance of the own domain.
func (s *Source) addPolledLoad(l *ownLoad, now time.Time) {
	if l == nil || l.Domain != s.self.Domain || l.Name == s.self.Name {
		return
	}
	s.countDropped(s.loads.AddReports(l.Name, l.Reports, l.Age, now))
}

// knownTotals returns the totals for the answer to a poll.
func (s *Source) knownTotals() []demand.Totals {
	if !s.usesRelays() {
		return nil
	}
	return s.loads.All(s.clock.Now())
}

// addPolledTotals stores the totals in the answer to a poll. If they include new ones of the own domain, it puts off the next
// exchange of load reports by a call of their own.
func (s *Source) addPolledTotals(totals []demand.Totals) {
	s.addTotals(totals)
	isNew := func(t demand.Totals) bool { return t.Domain == s.self.Domain && t.Age <= newTotalsAge }
	if slices.ContainsFunc(totals, isNew) {
		s.setLoadDue(unpolledTime)
	}
}

// setLoadDue sets after what time load reports are next exchanged by a call of their own.
func (s *Source) setLoadDue(after time.Duration) {
	s.loadDue.Store(int64(s.clock.Since(s.begun) + after))
}

// addTotals stores the totals that another instance sent. Their age counts from the receipt: on the way they have become older by
// less than the timeout of a call.
func (s *Source) addTotals(totals []demand.Totals) {
	if len(totals) > 0 {
		s.countDropped(s.loads.AddTotals(totals, s.clock.Now()))
	}
}

// countDropped counts load reports and totals that were dropped, by reason.
func (s *Source) countDropped(reasons []demand.Reason) {
	for _, r := range reasons {
		s.stats.Counter(r.Counter()).Inc(1)
	}
}

// registerTotals adds the handler of requests for totals to the calls that the instance answers.
func (s *Source) registerTotals(mux *link.Mux) {
	link.Handle(mux, link.KindTotals, func(_ context.Context, _ keys.Identity, q totalsRequest) (totalsReply, error) {
		return s.serveTotals(q)
	})
}

// serveTotals answers an instance of the own domain with all totals, and others with those of the own domain. The relay gives
// these even if no other instance reports to it; an instance that takes its place gives what it knows of the whole domain.
func (s *Source) serveTotals(q totalsRequest) (totalsReply, error) {
	if s.stopped.Load() {
		return totalsReply{}, errNotDirect
	}
	now := s.clock.Now()
	s.ends.Adopt(q.Ends)
	reply := totalsReply{Ends: s.ends.Unpublished()}
	switch {
	case q.Load != nil && q.Load.Domain == s.self.Domain:
		s.addPolledLoad(q.Load, now)
		reply.Totals = s.loads.All(now)
	case s.isRelay():
		reply.Totals = s.loads.LocalTotals(now)
	default:
		reply.Totals = slices.DeleteFunc(s.loads.All(now), func(t demand.Totals) bool { return t.Domain != s.self.Domain })
	}
	return reply, nil
}
