package relay

import (
	"time"

	"junctioncross/follow"
)

const (
	// refusalsToOpen is the number of relays that must say that they cannot reach the store before the breaker opens. A store
	// that rejects a third of the instances rejects the relays of two domains and a standby relay together in one case of 27.
	refusalsToOpen = 3
	// deliveryTime is how long a configuration takes to arrive after the interval between two probes: 0.8 s between two rounds
	// of polls, 0.4 s for each of two relays that have fallen silent, 0.2 s for a slow store, and 0.2 s of reserve.
	deliveryTime = 2 * time.Second
	// probeTime is how long a configuration takes to arrive once the store is probed: a call of 0.7 s to a silent store, and
	// the next call.
	probeTime = time.Second
	// answerValidity is how long the store's last answer shows that it serves this instance: a wait for a configuration, its
	// answer, and a round of polls to relays.
	answerValidity = freshTime + maxBackoff
	// refusalAge is how long a refusal counts after the back-off that follows it; a relay that still refuses is polled again
	// before that.
	refusalAge = 3 * time.Second
)

// refusal is the error of a poll that a reachable relay did not serve; it also matches follow.ErrUnavailable.
type refusal struct {
	cause error
	// referTo is the address of an instance that follows the store, if the relay named one.
	referTo string
}

// Error implements error.
func (r refusal) Error() string { return r.cause.Error() }

// Is implements the interface that errors.Is uses.
func (refusal) Is(target error) bool { return target == follow.ErrUnavailable }

// storeBreaker is the circuit breaker for calls to the store of an instance that is not the relay of its domain. While the
// breaker is closed, the instance asks the store whenever no relay has served it. The breaker opens when the store does not
// answer or when enough relays say that they cannot reach it. While it is open, the instance only probes the store at
// intervals. It covers two cases: an outage for a fleet of hundreds, in which each call of each instance would go unanswered,
// and an outage for the relays alone, in which the others must find out by themselves that the store serves them. Only the
// configuration feed makes probes, on behalf of the other feeds too, since each call of hundreds of instances has its cost.
type storeBreaker struct {
	// apply is Self.ApplyTime: how long after its acceptance a configuration may take to be in force.
	apply time.Duration
	// nextProbe is when the store is probed next; it is zero while the store or a relay serves this instance.
	nextProbe time.Time
	// lastAnswer is when the store last answered; it is zero after a failure.
	lastAnswer time.Time
	// failed is true when the store's last answer was a failure and no relay has served this instance since.
	failed bool
	// probing is true from the start of a probe until the store answers or a relay serves this instance.
	probing bool
}

// breakerInput is what an instance knows when it decides whether to ask the store.
type breakerInput struct {
	now time.Time
	// refusals is the number of relays that say that they cannot reach the store.
	refusals int
	// known is the moment up to which the own configuration is confirmed.
	known time.Time
	// random is uniform in [0, 1).
	random float64
}

// allows reports whether the store may be asked for updates of a feed.
func (b *storeBreaker) allows(feed follow.Feed, in breakerInput) bool {
	switch {
	case !b.lastAnswer.IsZero() && in.now.Sub(b.lastAnswer) < answerValidity:
		return true
	case !b.failed && in.refusals < refusalsToOpen:
		return true
	case feed != follow.FeedConfig:
		// The watch on the configuration is the shorter one; its answer shows that the store also serves the other feeds.
		return false
	}
	if b.nextProbe.IsZero() {
		b.nextProbe = b.firstProbe(in)
	}
	if in.now.Before(b.nextProbe) {
		return false
	}
	b.nextProbe, b.probing = in.now.Add(b.probeInterval()), true
	return true
}

// probeInterval returns the longest time between two probes. The store may reject the relays and serve other instances, which
// must still have a configuration in force in time.
func (b *storeBreaker) probeInterval() time.Duration { return b.apply - deliveryTime }

// firstProbe returns when the store is probed first. The probes are spread over instances that notice an outage together, but
// come before the confirmed configuration is too old.
func (b *storeBreaker) firstProbe(in breakerInput) time.Time {
	spread := in.now.Add(time.Duration(in.random * float64(b.probeInterval())))
	if latest := in.known.Add(b.apply - probeTime); latest.Before(spread) {
		return latest
	}
	return spread
}

// storeAnswered records that the store has answered this instance.
func (b *storeBreaker) storeAnswered(now time.Time) {
	*b = storeBreaker{apply: b.apply, lastAnswer: now}
}

// storeFailed records that a call to the store that began at sentAt has failed.
func (b *storeBreaker) storeFailed(sentAt time.Time) {
	b.failed, b.lastAnswer = true, time.Time{}
	if b.nextProbe.IsZero() {
		b.nextProbe = sentAt.Add(b.probeInterval())
	}
}

// relayServed records that a relay has served this instance.
func (b *storeBreaker) relayServed() { *b = storeBreaker{apply: b.apply} }

// mayAskStore decides for one poll whether the store may be asked. The relay of a domain always asks it. The breaker of the
// standby relay ignores what relays say, since the rest of the domain learns through these two that the store is back.
func (s *Source) mayAskStore(feed follow.Feed) bool {
	if upstreams := s.upstreams(); len(upstreams) == 0 || upstreams[0].direct() {
		return true
	}
	first := s.asksStoreEarly()
	_, known := s.logs[follow.FeedConfig].progress()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	in := breakerInput{now: now, known: known, random: s.random()}
	if !first {
		in.refusals = s.refusals(now)
	}
	return s.breaker.allows(feed, in)
}

// refusals returns how many relays have refused lately and have not served since. The caller holds the lock.
func (s *Source) refusals(now time.Time) int {
	n := 0
	for _, b := range s.backoffs {
		if b.refused && now.Sub(b.until) < refusalAge {
			n++
		}
	}
	return n
}

// asksStoreEarly reports whether the instance asks the store before it asks the relays of other domains.
func (s *Source) asksStoreEarly() bool {
	for i, u := range s.upstreams() {
		if u.direct() {
			return i < ownRelaysAsked
		}
	}
	return true
}
