package relay

import (
	"time"

	"junctioncross/follow"
)

const (
	// sparingRefusals is the number of relays that must say that they do not hear the store for an instance to spare it. Those of two
	// domains and a stand-in are turned away together by a store that turns a third of the instances away in one case of 27.
	sparingRefusals = 3
	// roundTime is what a configuration takes to come after the pause between two questions to a store that is spared: 0.8 s between two
	// rounds of questions, two relays of 0.4 s that have fallen silent, a slow store of 0.2 s, and 0.2 s to spare.
	roundTime = 2 * time.Second
	// stallTime is what it takes once the store is asked: a question of 0.7 s to a store that is silent, and the next one.
	stallTime = time.Second
	// heardTime is how long the store's last answer shows that it serves this instance: a wait for a configuration, its answer, and a
	// round of questions to relays.
	heardTime = freshTime + longestLeft
	// refusalAge is how long a refusal counts after the pause that follows it; a relay that still refuses is asked again before.
	refusalAge = 3 * time.Second
)

// refusal is the error of a question that a relay which is there did not serve; it is also follow.ErrUnavailable.
type refusal struct {
	cause error
	// ask is the address of an instance that follows the store, if the relay named one.
	ask string
}

// Error implements error.
func (r refusal) Error() string { return r.cause.Error() }

// Is implements the test of package errors.
func (refusal) Is(target error) bool { return target == follow.ErrUnavailable }

// sparing decides when an instance that is not the relay of its domain asks a store that does not answer, or that relays do not hear. It
// answers an outage of a fleet of hundreds, in which every question of everybody is a call that nobody answers, and an outage for the
// relays alone, in which the others must find out by themselves. One feed asks for both, since each question of hundreds of instances has
// its price.
type sparing struct {
	// apply is how long after its acceptance a configuration may not be in force yet.
	apply time.Duration
	// probe is when the store is asked next; zero while it or a relay serves.
	probe time.Time
	// heard is when the store last answered; zero after a failure.
	heard time.Time
	// failed is true when the store's last answer was a failure and no relay has served since.
	failed bool
	// probing is true from a question to a store that is spared until something is heard.
	probing bool
}

// state is what an instance knows when it decides whether to ask the store.
type state struct {
	now time.Time
	// refusals is the number of relays that do not hear the store.
	refusals int
	// known is the moment up to which the own configuration is known.
	known time.Time
	// random is uniform in [0, 1).
	random float64
}

// asks reports whether the store is asked for news of a feed.
func (p *sparing) asks(feed follow.Feed, s state) bool {
	switch {
	case !p.heard.IsZero() && s.now.Sub(p.heard) < heardTime:
		return true
	case !p.failed && s.refusals < sparingRefusals:
		return true
	case feed != follow.FeedConfig:
		// The configuration's question is the shorter one; its answer shows that the store is there for the servers too.
		return false
	}
	if p.probe.IsZero() {
		p.probe = p.first(s)
	}
	if s.now.Before(p.probe) {
		return false
	}
	p.probe, p.probing = s.now.Add(p.pause()), true
	return true
}

// pause returns the longest time between two questions to a store that is spared. It may turn the relays away and serve others, which must
// have a configuration in force in time.
func (p *sparing) pause() time.Duration { return p.apply - roundTime }

// first returns when the store is asked first: spread over instances that learn of an outage together, but before what is known is too old.
func (p *sparing) first(s state) time.Time {
	spread := s.now.Add(time.Duration(s.random * float64(p.pause())))
	if latest := s.known.Add(p.apply - stallTime); latest.Before(spread) {
		return latest
	}
	return spread
}

// storeAnswered notes that the store has answered this instance.
func (p *sparing) storeAnswered(now time.Time) { *p = sparing{apply: p.apply, heard: now} }

// storeFailed notes that it has not, when it was asked at a moment.
func (p *sparing) storeFailed(asked time.Time) {
	p.failed, p.heard = true, time.Time{}
	if p.probe.IsZero() {
		p.probe = asked.Add(p.pause())
	}
}

// relayServed notes that news were had from a relay.
func (p *sparing) relayServed() { *p = sparing{apply: p.apply} }

// asksStore decides for one question whether the store is asked. The relay of a domain asks it always, its stand-in whatever relays say: the
// others hear of its return through them.
func (s *Source) asksStore(feed follow.Feed) bool {
	if ways := s.ways(); len(ways) == 0 || ways[0].direct() {
		return true
	}
	early := s.early()
	_, known := s.logs[follow.FeedConfig].reached()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	one := state{now: now, known: known, random: s.random()}
	if !early {
		one.refusals = s.refusals(now)
	}
	return s.sparing.asks(feed, one)
}

// refusals returns how many relays have refused lately and not served since; the caller holds the lock.
func (s *Source) refusals(now time.Time) int {
	n := 0
	for _, r := range s.left {
		if r.refused && now.Sub(r.until) < refusalAge {
			n++
		}
	}
	return n
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
