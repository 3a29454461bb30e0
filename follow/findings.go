package follow

import (
	"sync"
	"time"

	"junctioncross/backend"
)

// findingWakePeriod is the least time between two messages whose findings are passed on at once; others wait for the next poll.
const findingWakePeriod = 200 * time.Millisecond

// FindingEvent is what became of a finding at this instance.
type FindingEvent struct {
	Finding backend.Finding
	Outcome FindingOutcome
	// Received is true for a finding that another instance has passed on.
	Received bool
}

// FindingInForce is a finding of another instance that keeps new work away from a server.
type FindingInForce struct {
	Server *backend.Server
	Kind   backend.FindingKind
	Source string
	Age    time.Duration
	// At is when the finding was made, as far as this instance knows.
	At time.Time
	// Left is how long it stays in force unless it is taken back.
	Left time.Duration
}

// findings holds the findings of a FleetView and the observer of what becomes of them. It is safe for concurrent use.
type findings struct {
	mu   sync.Mutex
	book findingBook
	// name and domain are those of this instance.
	name, domain string
	// observe is called with what becomes of findings; it may be nil.
	observe func(FindingEvent)
	// lastWake is when findings were last passed on at once.
	lastWake time.Time
	// urgent receives a value when this instance has made a finding.
	urgent chan struct{}
}

// Identify names this instance and its domain; before that it makes no findings.
func (v *FleetView) Identify(name, domain string) {
	v.findings.mu.Lock()
	defer v.findings.mu.Unlock()
	v.findings.name, v.findings.domain = name, domain
}

// ObserveFindings sets the function that is called with what becomes of findings.
func (v *FleetView) ObserveFindings(observe func(FindingEvent)) {
	v.findings.mu.Lock()
	defer v.findings.mu.Unlock()
	v.findings.observe = observe
}

// UrgentFindings returns a channel that receives a value when this instance has made a finding; it is nil as long as no instance
// has shared a report.
func (v *FleetView) UrgentFindings() <-chan struct{} {
	if v.lastShared.Load().IsZero() {
		return nil
	}
	return v.findings.urgent
}

// NoteFinding records what this instance has found out about a server, to be passed on while instances share reports.
func (v *FleetView) NoteFinding(server *backend.Server, kind backend.FindingKind, now time.Time) {
	if !v.ReportsShared(now) {
		return
	}
	f := v.findings
	found, isNew := f.addOwn(server, kind, now)
	if !isNew {
		return
	}
	f.notify([]FindingEvent{{Finding: found, Outcome: FindingSent}})
	select {
	case f.urgent <- struct{}{}:
	default:
	}
}

// addOwn adds a finding of this instance, and reports whether it is new.
func (f *findings) addOwn(server *backend.Server, kind backend.FindingKind, now time.Time) (backend.Finding, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := backend.Finding{
		Server: server.ID(), Born: server.Incarnation().Born, Kind: kind, Source: f.name, Domain: f.domain,
	}
	return found, f.name != "" && f.book.addOwn(&keptFinding{Finding: found, server: server, at: now, learnedAt: now, own: true})
}

// Findings returns the findings of other instances that are in force.
func (v *FleetView) Findings(now time.Time) []FindingInForce {
	f := v.findings
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []FindingInForce
	for _, k := range f.book.inForce(now) {
		out = append(out, FindingInForce{
			Server: k.server, Kind: k.Kind, Source: k.Source, At: k.at, Age: now.Sub(k.at), Left: k.until.Sub(now),
		})
	}
	return out
}

// withFindings adds the findings since a moment to reports, in an element of their own.
func (v *FleetView) withFindings(reports []backend.SharedReport, after, now time.Time, ownOnly bool) []backend.SharedReport {
	v.findings.mu.Lock()
	defer v.findings.mu.Unlock()
	if found := v.findings.book.since(after, now, ownOnly); len(found) > 0 {
		reports = append(reports, backend.SharedReport{Findings: found})
	}
	return reports
}

// applyFindings applies the findings of one message, and reports whether they should be passed on at once.
func (v *FleetView) applyFindings(received []backend.Finding, now time.Time) bool {
	events, wake := v.takeFindings(received, now)
	v.findings.notify(events)
	return wake
}

// takeFindings applies the findings of one message to the book; it returns what became of each, and whether they should be passed on at once.
func (v *FleetView) takeFindings(received []backend.Finding, now time.Time) (events []FindingEvent, wake bool) {
	f := v.findings
	f.mu.Lock()
	defer f.mu.Unlock()
	applied := false
	for i, found := range received {
		if found.Source == f.name && f.name != "" {
			continue
		}
		outcome := droppedTooMany
		if i < maxFindings {
			outcome = v.applyLocked(found, now)
		}
		applied = applied || outcome == FindingApplied
		events = append(events, FindingEvent{Finding: found, Outcome: outcome, Received: true})
	}
	for _, k := range f.book.takenBack(now) {
		k.Age = now.Sub(k.at)
		events = append(events, FindingEvent{Finding: k.Finding, Outcome: FindingTakenBack})
	}
	if wake = applied && now.Sub(f.lastWake) >= findingWakePeriod; wake {
		f.lastWake = now
	}
	return events, wake
}

// applyLocked applies one finding; the caller holds the lock.
func (v *FleetView) applyLocked(found backend.Finding, now time.Time) FindingOutcome {
	current := v.Current()
	server := current.server(found.Server)
	if o := validate(found, server); o != findingValid {
		return o
	}
	servers := 1
	if group := current.Group(server.Service()); group != nil {
		servers = len(group.Servers())
	}
	return v.findings.book.add(&keptFinding{Finding: found, server: server, at: now.Add(-found.Age), learnedAt: now}, servers, now)
}

// notify passes events to the observer.
func (f *findings) notify(events []FindingEvent) {
	f.mu.Lock()
	observe := f.observe
	f.mu.Unlock()
	if observe == nil {
		return
	}
	for _, e := range events {
		observe(e)
	}
}
