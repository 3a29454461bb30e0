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

// TestTheRelayAndItsStandInAskTheStoreWhateverOthersSay lets all relays refuse a little while ago.
func TestTheRelayAndItsStandInAskTheStoreWhateverOthersSay(t *testing.T) {
	all := members(12)
	fake := clockwork.NewFakeClock()
	early := 0
	for _, m := range all {
		self := Self{Name: m.Name, Domain: m.Domain, From: 2, ApplyTime: promise}
		s := New(self, nil, known(all), nil, nil, nil, timer.New(fake), metrics.New(), nil)
		// What is known is new, so that an instance has time to ask.
		s.logs[follow.FeedConfig].extend(heard{at: 1, known: fake.Now()}, false)
		for _, w := range s.ways() {
			if !w.direct() {
				s.left[w.addr] = rest{until: fake.Now(), refused: true}
			}
		}
		// What an instance draws as its first moment decides the rest; none draws 0 to the nanosecond.
		if s.asksStore(follow.FeedConfig) {
			early++
		}
	}
	require.Equal(t, 6, early, "two of each domain")
	one := New(Self{Name: all[5].Name, Domain: all[5].Domain, From: 2, ApplyTime: promise}, nil, known(all), nil, nil, nil, timer.New(fake), metrics.New(), nil)
	for _, w := range one.ways() {
		one.left[w.addr] = rest{until: fake.Now().Add(-refusalAge), refused: true}
	}
	require.True(t, one.asksStore(follow.FeedConfig), "refusals of long ago")
}

// TestAnOutageCostsTheStoreOneCallAPauseOfEachInstance plays an outage of 8 s for 290 instances whose relays all say that they do not hear
// the store; both feeds of each ask for news 0.8 s after the last failure.
func TestAnOutageCostsTheStoreOneCallAPauseOfEachInstance(t *testing.T) {
	const (
		instances = 290
		outage    = 8 * time.Second
		pause     = 800 * time.Millisecond
		// most is what one of them may ask: once for each two rounds, since a round of 0.8 s is shorter than the pause of the store.
		most = 5
	)
	begun := time.Unix(100, 0)
	for i := range instances {
		p := sparing{apply: promise}
		calls := 0
		for at := time.Duration(0); at < outage; at += pause {
			s := state{now: begun.Add(at), refusals: sparingRefusals, known: begun, random: float64(i) / instances}
			for _, feed := range []follow.Feed{follow.FeedServers, follow.FeedConfig} {
				if p.asks(feed, s) {
					calls++
					p.storeFailed(s.now)
				}
			}
		}
		require.LessOrEqual(t, calls, most)
		require.Positive(t, calls, "each finds out whether the store is there for it")
	}
}

// TestOneFeedTellsTheOtherThatTheStoreIsBack lets the configuration's question be answered after a failure.
func TestOneFeedTellsTheOtherThatTheStoreIsBack(t *testing.T) {
	now := time.Unix(100, 0)
	s := state{now: now, refusals: sparingRefusals, known: now.Add(stallTime - promise)}
	p := sparing{apply: promise}
	require.False(t, p.asks(follow.FeedServers, s))
	require.True(t, p.asks(follow.FeedConfig, s), "what is known is old")
	p.storeFailed(now)
	require.False(t, p.asks(follow.FeedServers, s))
	require.False(t, p.asks(follow.FeedConfig, s))
	s.now = now.Add(p.pause())
	require.True(t, p.asks(follow.FeedConfig, s))
	p.storeAnswered(s.now)
	require.True(t, p.asks(follow.FeedServers, s))
	s.now = s.now.Add(heardTime)
	require.False(t, p.asks(follow.FeedServers, s), "the answer is old")
}

// TestTheStoreIsAskedWhereRelaysAreNotThere refuses less often than it takes to spare the store, and serves in between.
func TestTheStoreIsAskedWhereRelaysAreNotThere(t *testing.T) {
	now := time.Unix(100, 0)
	p := sparing{apply: promise}
	s := state{now: now, refusals: sparingRefusals - 1, known: now, random: 0.5}
	require.True(t, p.asks(follow.FeedConfig, s))
	require.True(t, p.asks(follow.FeedServers, s))
	s.refusals = sparingRefusals
	require.False(t, p.asks(follow.FeedConfig, s))
	s.now = now.Add(p.pause() / 2)
	require.True(t, p.asks(follow.FeedConfig, s), "its own moment")
	p.relayServed()
	require.False(t, p.asks(follow.FeedConfig, s), "a new outage, with a moment of its own")
}

// TestRelaysAreNotUsedWhereTheirSilenceWouldBreakThePromise compares promises.
func TestRelaysAreNotUsedWhereTheirSilenceWouldBreakThePromise(t *testing.T) {
	require.True(t, Self{From: 2, ApplyTime: leastApply}.relays(2, 2))
	require.True(t, Self{From: 2, ApplyTime: leastApply}.relays(1, 2), "one of two has a record")
	require.False(t, Self{From: 2, ApplyTime: leastApply}.relays(0, 2), "nobody to ask is known")
	require.False(t, Self{From: 2, ApplyTime: leastApply}.relays(1, 1))
	require.False(t, Self{From: 2, ApplyTime: leastApply - time.Second}.relays(100, 100))
}
