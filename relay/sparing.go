package relay

import (
	"math/rand/v2"
	"time"

	"junctioncross/follow"
)

const (
	// sparingRefusals is the number of relays that must say that they do not hear the store for an instance to spare it. Those of two
	// domains and a stand-in are turned away together by a store that turns a third of the instances away in one case of 27.
	sparingRefusals = 3
	// probeTime is the time within which such an instance asks the store once all the same, at a moment of its own: in an outage of 8 s
	// 290 followers that asked every 3 s made 1,700 calls that nobody answered, and the relays heard of the store's return first.
	probeTime = 12 * time.Second
	// refusalAge is how long a refusal counts after the pause that follows it; a relay that still refuses is asked again before.
	refusalAge = 3 * time.Second
)

// refusal is the error of a question that a relay which is there did not serve; it is also follow.ErrUnavailable.
type refusal struct{ cause error }

// Error implements error.
func (r refusal) Error() string { return r.cause.Error() }

// Is implements the test of package errors.
func (refusal) Is(target error) bool { return target == follow.ErrUnavailable }

// sparing decides when an instance whose relays do not hear the store asks it itself.
type sparing struct {
	// probe is when it asks next; zero while relays serve.
	probe time.Time
}

// spares reports whether the store is left alone after so many relays have refused; random is uniform in [0, 1).
func (p *sparing) spares(refusals int, now time.Time, random float64) bool {
	if refusals < sparingRefusals {
		return false
	}
	if p.probe.IsZero() {
		p.probe = now.Add(time.Duration(random * float64(probeTime)))
	}
	if now.Before(p.probe) {
		return true
	}
	p.probe = now.Add(probeTime)
	return false
}

// served notes that news were had.
func (p *sparing) served() { p.probe = time.Time{} }

// spareStore decides for one question whether the store is left alone, by how many relays have refused lately and not served since. The
// relay of a domain and its stand-in ask it always: the others hear of its return through them.
func (s *Source) spareStore() bool {
	if s.early() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now, refusals := s.clock.Now(), 0
	for _, r := range s.left {
		if r.refused && now.Sub(r.until) < refusalAge {
			refusals++
		}
	}
	return s.sparing.spares(refusals, now, rand.Float64())
}

// early reports whether the instance asks the store before all other domains.
func (s *Source) early() bool {
	for i, w := range s.ways() {
		if w.direct() {
			return i < relaysAsked
		}
	}
	return true
}
