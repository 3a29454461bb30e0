package relay

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"junctioncross/census"
	"junctioncross/timer"
)

// known is a Fleet that does not change.
type known []census.Instance

// Members implements Fleet.
func (k known) Members() []census.Instance { return k }

// Key implements Fleet.
func (known) Key() []byte { return []byte("k") }

// TestTheRelayAndItsStandInAskTheStoreWhateverOthersSay lets all relays refuse a little while ago.
func TestTheRelayAndItsStandInAskTheStoreWhateverOthersSay(t *testing.T) {
	all := members(12)
	fake := clockwork.NewFakeClock()
	early := 0
	for _, m := range all {
		self := Self{Name: m.Name, Domain: m.Domain, From: 2}
		s := New(self, nil, known(all), nil, nil, timer.New(fake), nil, nil)
		for _, w := range s.ways() {
			if !w.direct() {
				s.left[w.addr] = rest{until: fake.Now(), refused: true}
			}
		}
		// What an instance draws as its first moment decides the rest; none draws 0 to the nanosecond.
		if !s.spareStore() {
			early++
		}
	}
	require.Equal(t, 6, early, "two of each domain")
	one := New(Self{Name: all[5].Name, Domain: all[5].Domain, From: 2}, nil, known(all), nil, nil, timer.New(fake), nil, nil)
	for _, w := range one.ways() {
		one.left[w.addr] = rest{until: fake.Now().Add(-refusalAge), refused: true}
	}
	require.False(t, one.spareStore(), "refusals of long ago")
}

// TestAnOutageCostsTheStoreAFewCallsOfEachInstance plays an outage of 8 s for 290 instances whose relays all say that they do not hear the
// store; each asks for news 0.8 s after the last failure.
func TestAnOutageCostsTheStoreAFewCallsOfEachInstance(t *testing.T) {
	const (
		instances = 290
		outage    = 8 * time.Second
		pause     = 800 * time.Millisecond
	)
	begun := time.Unix(100, 0)
	calls := 0
	for i := range instances {
		var p sparing
		for at := time.Duration(0); at < outage; at += pause {
			if !p.spares(sparingRefusals, begun.Add(at), float64(i)/instances) {
				calls++
			}
		}
	}
	require.LessOrEqual(t, calls, instances, "less than one call of each")
	require.Greater(t, calls, instances/2, "some find out whether the store is there for them")
}

// TestTheStoreIsAskedWhereRelaysAreNotThere refuses less often than it takes to spare the store, and serves in between.
func TestTheStoreIsAskedWhereRelaysAreNotThere(t *testing.T) {
	now := time.Unix(100, 0)
	var p sparing
	require.False(t, p.spares(sparingRefusals-1, now, 0.5))
	require.True(t, p.spares(sparingRefusals, now, 0.5))
	require.False(t, p.spares(sparingRefusals, now.Add(probeTime/2), 0.5), "its own moment")
	require.True(t, p.spares(sparingRefusals, now.Add(probeTime), 0.5))
	p.served()
	require.False(t, p.spares(sparingRefusals, now.Add(probeTime), 0), "a new outage, with a moment of its own")
}
