package backend

import "time"

// Reason says why a server gets no new work.
type Reason string

// The reasons, in the order in which they are looked for.
const (
	ReasonGone            Reason = "gone"
	ReasonLeaving         Reason = "leaving"
	ReasonPossiblyLeaving Reason = "possibly leaving"
	ReasonSuspected       Reason = "suspected"
	ReasonStaleLayers     Reason = "stale layers"
	ReasonBackedOff       Reason = "backed off"
	ReasonSetAside        Reason = "set aside"
	ReasonCircuit         Reason = "failures"
	ReasonRateLimited     Reason = "rate limited"
)

// OutOfUse is why a server gets no new work.
type OutOfUse struct {
	Reason Reason
	// Since is when this instance learned of the reason, and Until when it ends; each is zero where the server does not keep it.
	Since, Until time.Time
}

// OutOfUse returns why the server gets no new work; instances is the number of instances that share its rate limit. False means
// that it may get work. It changes nothing.
func (s *Server) OutOfUse(instances int, now time.Time) (OutOfUse, bool) {
	switch {
	case s.Gone():
		return OutOfUse{Reason: ReasonGone, Since: s.leavingSince.load()}, true
	case s.Leaving():
		return OutOfUse{Reason: ReasonLeaving, Since: s.leavingSince.load()}, true
	case s.possiblyLeaving.Load():
		return OutOfUse{Reason: ReasonPossiblyLeaving}, true
	}
	if out, aside := s.temporarilyOut(now); aside {
		return out, true
	}
	if s.circuit.Open(now) {
		return OutOfUse{Reason: ReasonCircuit}, true
	}
	if next, _, limited := s.NextPermit(instances); limited && next.After(now) {
		return OutOfUse{Reason: ReasonRateLimited, Until: next}, true
	}
	return OutOfUse{}, false
}

// temporarilyOut returns the reason that ends at a known time, if there is one.
func (s *Server) temporarilyOut(now time.Time) (OutOfUse, bool) {
	s.mu.Lock()
	suspect, stale, aside := s.suspectUntil, s.staleUntil, later(s.asideUntil, s.sharedSilentUntil)
	s.mu.Unlock()
	switch {
	case now.Before(suspect):
		return OutOfUse{Reason: ReasonSuspected, Until: suspect}, true
	case now.Before(stale):
		return OutOfUse{Reason: ReasonStaleLayers, Until: stale}, true
	case s.BackedOff(now):
		return OutOfUse{Reason: ReasonBackedOff, Until: s.backOff.load()}, true
	case s.isAside(now):
		return OutOfUse{Reason: ReasonSetAside, Until: aside}, true
	default:
		return OutOfUse{}, false
	}
}

// Silent reports whether the server did not answer the latest query that this instance knows of, and whether that query was its
// own.
func (s *Server) Silent() (silent, own bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reportSource.silent, s.reportSource.own
}
