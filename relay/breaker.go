package relay

import (
	"time"

	"junctioncross/follow"
)

const (
	// refusalsToOpen is the number of relays that must say that they do not hear the store for an instance to spare it. Those of two
	// domains and a stand-in are turned away together by a store that turns a third of the instances away in one case of 27.
	refusalsToOpen = 3
	// deliveryTime is what a configuration takes to come after the pause between two questions to a store that is spared: 0.8 s between two
	// rounds of questions, two relays of 0.4 s that have fallen silent, a slow store of 0.2 s, and 0.2 s to spare.
	deliveryTime = 2 * time.Second
	// probeTime is what it takes once the store is asked: a question of 0.7 s to a store that is silent, and the next one.
	probeTime = time.Second
	// answerValidity is how long the store's last answer shows that it serves this instance: a wait for a configuration, its answer, and a
	// round of questions to relays.
	answerValidity = freshTime + maxBackoff
	// refusalAge is how long a refusal counts after the pause that follows it; a relay that still refuses is asked again before.
	refusalAge = 3 * time.Second
)

// refusal is the error of a question that a relay which is there did not serve; it is also follow.ErrUnavailable.
type refusal struct {
	cause error
	// referTo is the address of an instance that follows the store, if the relay named one.
	referTo string
}

// Error implements error.
func (r refusal) Error() string { return r.cause.Error() }

// Is implements the test of package errors.
func (refusal) Is(target error) bool { return target == follow.ErrUnavailable }

// storeBreaker decides when an instance that is not the relay of its domain asks a store that does not answer, or that relays do not hear. It
// answers an outage of a fleet of hundreds, in which every question of everybody is a call that nobody answers, and an outage for the
// relays alone, in which the others must find out by themselves. One feed asks for both, since each question of hundreds of instances has
// its price.
type storeBreaker struct {
	// apply is how long after its acceptance a configuration may not be in force yet.
	apply time.Duration
	// nextProbe is when the store is asked next; zero while it or a relay serves.
	nextProbe time.Time
	// lastAnswer is when the store last answered; zero after a failure.
	lastAnswer time.Time
	// failed is true when the store's last answer was a failure and no relay has served since.
	failed bool
	// probing is true from a question to a store that is spared until something is heard.
	probing bool
}

// breakerInput is what an instance knows when it decides whether to ask the store.
type breakerInput struct {
	now time.Time
	// refusals is the number of relays that do not hear the store.
	refusals int
	// known is the moment up to which the own configuration is known.
	known time.Time
	// random is uniform in [0, 1).
	random float64
}

// allows reports whether the store is asked for news of a feed.
func (b *storeBreaker) allows(feed follow.Feed, s breakerInput) bool {
	switch {
	case !b.lastAnswer.IsZero() && s.now.Sub(b.lastAnswer) < answerValidity:
		return true
	case !b.failed && s.refusals < refusalsToOpen:
		return true
	case feed != follow.FeedConfig:
		// The configuration's question is the shorter one; its answer shows that the store is there for the servers too.
		return false
	}
	if b.nextProbe.IsZero() {
		b.nextProbe = b.firstProbe(s)
	}
	if s.now.Before(b.nextProbe) {
		return false
	}
	b.nextProbe, b.probing = s.now.Add(b.probeInterval()), true
	return true
}

// probeInterval returns the longest time between two questions to a store that is spared. It may turn the relays away and serve others, which must
// have a configuration in force in time.
func (b *storeBreaker) probeInterval() time.Duration { return b.apply - deliveryTime }

// firstProbe returns when the store is asked firstProbe: spread over instances that learn of an outage together, but before what is known is too old.
func (b *storeBreaker) firstProbe(s breakerInput) time.Time {
	spread := s.now.Add(time.Duration(s.random * float64(b.probeInterval())))
	if latest := s.known.Add(b.apply - probeTime); latest.Before(spread) {
		return latest
	}
	return spread
}

// storeAnswered notes that the store has answered this instance.
func (b *storeBreaker) storeAnswered(now time.Time) {
	*b = storeBreaker{apply: b.apply, lastAnswer: now}
}

// storeFailed notes that it has not, when it was asked at a moment.
func (b *storeBreaker) storeFailed(asked time.Time) {
	b.failed, b.lastAnswer = true, time.Time{}
	if b.nextProbe.IsZero() {
		b.nextProbe = asked.Add(b.probeInterval())
	}
}

// relayServed notes that news were had from a relay.
func (b *storeBreaker) relayServed() { *b = storeBreaker{apply: b.apply} }

// mayAskStore decides for one question whether the store is asked. The relay of a domain asks it always, its stand-in whatever relays say: the
// others hear of its return through them.
func (s *Source) mayAskStore(feed follow.Feed) bool {
	if upstreams := s.ways(); len(upstreams) == 0 || upstreams[0].direct() {
		return true
	}
	first := s.asksStoreEarly()
	_, known := s.logs[follow.FeedConfig].reached()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	in := breakerInput{now: now, known: known, random: s.random()}
	if !first {
		in.refusals = s.refusals(now)
	}
	return s.breaker.allows(feed, in)
}

// refusals returns how many relays have refused lately and not served since; the caller holds the lock.
func (s *Source) refusals(now time.Time) int {
	n := 0
	for _, b := range s.backoffs {
		if b.refused && now.Sub(b.until) < refusalAge {
			n++
		}
	}
	return n
}

// asksStoreEarly reports whether the instance asks the store before all other domains.
func (s *Source) asksStoreEarly() bool {
	for i, u := range s.ways() {
		if u.direct() {
			return i < ownRelaysAsked
		}
	}
	return true
}
