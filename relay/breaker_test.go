package relay

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"junctioncross/follow"
	"junctioncross/metrics"
	"junctioncross/timer"
)

// TestRelayAndStandbyAskTheStoreDespiteRefusals makes all relays refuse a moment ago. Only the relay and the standby relay of
// each domain may ask the store at once; for the others the breaker is open until their first probe. Refusals of long ago do
// not count.
func TestRelayAndStandbyAskTheStoreDespiteRefusals(t *testing.T) {
	all := members(12)
	fake := clockwork.NewFakeClock()
	early := 0
	for _, m := range all {
		self := Self{Name: m.Name, Domain: m.Domain, RelaysFrom: 2, ApplyTime: applyDeadline}
		s := New(self, nil, staticFleet(all), nil, nil, nil, nil, timer.New(fake), metrics.New(), nil)
		// The configuration was confirmed just now, so that an instance has time before its first probe.
		s.logs[follow.FeedConfig].append(update{position: 1, known: fake.Now()}, false)
		for _, u := range s.upstreams() {
			if !u.direct() {
				s.backoffs[u.addr] = backoff{until: fake.Now(), refused: true}
			}
		}
		// The first probe is at a random time; no instance draws 0 to the nanosecond.
		if s.mayAskStore(follow.FeedConfig) {
			early++
		}
	}
	require.Equal(t, 6, early, "two of each domain")
	self := Self{Name: all[5].Name, Domain: all[5].Domain, RelaysFrom: 2, ApplyTime: applyDeadline}
	one := New(self, nil, staticFleet(all), nil, nil, nil, nil, timer.New(fake), metrics.New(), nil)
	for _, u := range one.upstreams() {
		one.backoffs[u.addr] = backoff{until: fake.Now().Add(-refusalAge), refused: true}
	}
	require.True(t, one.mayAskStore(follow.FeedConfig), "refusals of long ago")
}

// TestAnOutageCostsTheStoreOneCallPerProbeInterval simulates an outage of 8 s for 290 instances whose relays all say that
// they cannot reach the store. Two feeds of each instance ask for updates 0.8 s after the last failure.
func TestAnOutageCostsTheStoreOneCallPerProbeInterval(t *testing.T) {
	const (
		instances = 290
		outage    = 8 * time.Second
		pause     = 800 * time.Millisecond
		// maxCallsEach is the number of calls that one instance may make: one for every two rounds of polls, since a round of 0.8 s is
		// shorter than the probe interval.
		maxCallsEach = 5
	)
	begun := time.Unix(100, 0)
	for i := range instances {
		b := storeBreaker{apply: applyDeadline}
		calls := 0
		for at := time.Duration(0); at < outage; at += pause {
			in := breakerInput{now: begun.Add(at), refusals: refusalsToOpen, known: begun, random: float64(i) / instances}
			for _, feed := range []follow.Feed{follow.FeedServers, follow.FeedConfig} {
				if b.allows(feed, in) {
					calls++
					b.storeFailed(in.now)
				}
			}
		}
		require.LessOrEqual(t, calls, maxCallsEach)
		require.Positive(t, calls, "each instance probes the store")
	}
}

// TestAnAnsweredProbeClosesTheBreakerForAllFeeds lets the store answer the second probe of the configuration feed.
func TestAnAnsweredProbeClosesTheBreakerForAllFeeds(t *testing.T) {
	now := time.Unix(100, 0)
	s := breakerInput{now: now, refusals: refusalsToOpen, known: now.Add(probeTime - applyDeadline)}
	b := storeBreaker{apply: applyDeadline}
	require.False(t, b.allows(follow.FeedServers, s))
	require.True(t, b.allows(follow.FeedConfig, s), "the configuration is old")
	b.storeFailed(now)
	require.False(t, b.allows(follow.FeedServers, s))
	require.False(t, b.allows(follow.FeedConfig, s))
	s.now = now.Add(b.probeInterval())
	require.True(t, b.allows(follow.FeedConfig, s))
	b.storeAnswered(s.now)
	require.True(t, b.allows(follow.FeedServers, s))
	s.now = s.now.Add(answerValidity)
	require.False(t, b.allows(follow.FeedServers, s), "the answer is old")
}

// TestBreakerOpensOnlyAfterEnoughRefusals also checks that the breaker closes once a relay serves again, so that the next
// outage draws a new first probe.
func TestBreakerOpensOnlyAfterEnoughRefusals(t *testing.T) {
	now := time.Unix(100, 0)
	b := storeBreaker{apply: applyDeadline}
	s := breakerInput{now: now, refusals: refusalsToOpen - 1, known: now, random: 0.5}
	require.True(t, b.allows(follow.FeedConfig, s))
	require.True(t, b.allows(follow.FeedServers, s))
	s.refusals = refusalsToOpen
	require.False(t, b.allows(follow.FeedConfig, s))
	s.now = now.Add(b.probeInterval() / 2)
	require.True(t, b.allows(follow.FeedConfig, s), "its first probe")
	b.relayServed()
	require.False(t, b.allows(follow.FeedConfig, s), "a new outage draws a new first probe")
}

// TestRelaysAreNotUsedWithAShortApplyTime compares values of ApplyTime: relays take almost minApplyTime to report that they
// have lost the store.
func TestRelaysAreNotUsedWithAShortApplyTime(t *testing.T) {
	require.True(t, Self{RelaysFrom: 2, ApplyTime: minApplyTime}.usesRelays(2, 2))
	require.True(t, Self{RelaysFrom: 2, ApplyTime: minApplyTime}.usesRelays(1, 2), "one of two has a record")
	require.False(t, Self{RelaysFrom: 2, ApplyTime: minApplyTime}.usesRelays(0, 2), "no member is known")
	require.False(t, Self{RelaysFrom: 2, ApplyTime: minApplyTime}.usesRelays(1, 1))
	require.False(t, Self{RelaysFrom: 2, ApplyTime: minApplyTime - time.Second}.usesRelays(100, 100))
}
