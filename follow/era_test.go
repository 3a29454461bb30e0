package follow_test

import (
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"junctioncross/follow"
	"junctioncross/metrics"
	"junctioncross/quarantine"
	"junctioncross/testlog"
	"junctioncross/timer"
)

// placeIn returns the place of a revision in an era.
func placeIn(t *testing.T, era, revision int64) follow.Position {
	at, ok := follow.PositionOf(era, revision)
	require.True(t, ok)
	return at
}

func TestAPlaceOfALaterEraComesAfterAllOfEarlierOnes(t *testing.T) {
	require.Greater(t, placeIn(t, 2, 0), placeIn(t, 1, 1<<40))
	require.Equal(t, int64(7), placeIn(t, 3, 7).Revision())
	require.Equal(t, int64(3), placeIn(t, 3, 7).Era())
	for _, bad := range [][2]int64{{-1, 0}, {0, -1}, {1 << 15, 0}, {0, 1 << 48}} {
		_, ok := follow.PositionOf(bad[0], bad[1])
		require.False(t, ok, "%v", bad)
	}
}

// TestAnEntryUnderARevisionThatIsGivenOutAgainIsNoLateOne lets a server say that it leaves after the store has lost writes.
func TestAnEntryUnderARevisionThatIsGivenOutAgainIsNoLateOne(t *testing.T) {
	s := newSource()
	b := start(t, s)
	s.tell(follow.FeedConfig, configured(t, 1))
	s.tell(follow.FeedServers, born("a", 1000, int64(placeIn(t, 1, 900)), false))
	soon(t, func() bool { return only(b) != nil })
	s.tell(follow.FeedServers, born("a", 1000, int64(placeIn(t, 2, 880)), true))
	soon(t, func() bool { return only(b).LeavingFor(time.Now()) > 0 })
}

// TestAServerThatHadSaidThatItLeavesLeavesWhenItsEarlierEntryIsBack lets the entry go, and the store come back from a copy from before.
func TestAServerThatHadSaidThatItLeavesLeavesWhenItsEarlierEntryIsBack(t *testing.T) {
	s := newSource()
	b := start(t, s)
	s.tell(follow.FeedConfig, configured(t, 1))
	s.tell(follow.FeedServers, born("a", 1000, int64(placeIn(t, 1, 10)), false))
	s.tell(follow.FeedServers, born("a", 1000, int64(placeIn(t, 1, 20)), true))
	soon(t, func() bool { return only(b) != nil && only(b).Leaving() })
	s.tell(follow.FeedServers, follow.ServerGone{ID: "a"})
	soon(t, func() bool { return only(b) == nil })
	s.tell(follow.FeedServers, born("a", 1000, int64(placeIn(t, 2, 10)), false))
	soon(t, func() bool { return only(b) != nil })
	require.True(t, only(b).Leaving())
}

// TestAServerWhoseEntryHadGoneGetsNoWorkWhenACopyBringsTheEntryBack tells the last entry of a server that had left without a word, and a new
// one of a server that lives.
func TestAServerWhoseEntryHadGoneGetsNoWorkWhenACopyBringsTheEntryBack(t *testing.T) {
	for name, c := range map[string]struct {
		revision int64
		usable   bool
	}{"left over": {10, false}, "written again": {11, true}} {
		t.Run(name, func(t *testing.T) {
			s := newSource()
			b := start(t, s)
			s.tell(follow.FeedConfig, configured(t, 1))
			s.tell(follow.FeedServers, born("a", 1000, int64(placeIn(t, 1, 10)), false))
			soon(t, func() bool { return only(b) != nil })
			s.tell(follow.FeedServers, follow.ServerGone{ID: "a"})
			soon(t, func() bool { return only(b) == nil })
			s.tell(follow.FeedServers, born("a", 1000, int64(placeIn(t, 2, c.revision)), false))
			soon(t, func() bool { return only(b) != nil })
			require.Equal(t, c.usable, only(b).Usable(time.Now()))
			require.True(t, only(b).Usable(time.Now().Add(time.Minute)), "it is not left alone for good")
		})
	}
}

// TestAnOlderConfigurationInTheStoreConfirmsNothing lets the store come back with the configuration before the one in force, until it is written
// again.
func TestAnOlderConfigurationInTheStoreConfirmsNothing(t *testing.T) {
	s := newSource()
	b, lines := startTold(t, s)
	ignored := func() bool {
		return slices.ContainsFunc(lines.AllEntries(), func(e *logrus.Entry) bool { return e.Message == "older configuration ignored" })
	}
	s.tell(follow.FeedConfig, configured(t, 5))
	soon(t, func() bool { return b.Current().Catalog() != nil })
	s.tell(follow.FeedConfig, configured(t, 3))
	soon(t, ignored)
	confirmed := b.Confirmed()
	s.tell(follow.FeedConfig, configured(t, 4))
	time.Sleep(2 * wait)
	require.Equal(t, int64(5), b.Current().Catalog().Version())
	require.Equal(t, confirmed, b.Confirmed())
	s.tell(follow.FeedConfig, configured(t, 5))
	soon(t, func() bool { return b.Confirmed().After(confirmed) })
}

// TestEndsUnderRequestsThatTheStoreLostStillCount lets the store lose the record of an end, and then take one back.
func TestEndsUnderRequestsThatTheStoreLostStillCount(t *testing.T) {
	s, b := newSource(), follow.NewBoard()
	ends := quarantine.NewBook(quarantine.Terms{Ends: 2, EndsOfOne: 3, Keep: time.Hour, Most: 10})
	follow.New(t.Context(), s, b, ends, timer.NewReal(), metrics.New(), testlog.New(t))
	request := quarantine.FingerprintOf([]byte("h"), []byte("/"), "a", nil)
	end := quarantine.NewEnd(request, "server", "attempt")
	soon(t, func() bool {
		// What is told before the first reading is no news.
		s.tell(follow.FeedQuarantine, follow.EndSeen{End: end})
		return ends.Ends(request) == 1
	})
	s.mu.Lock()
	s.at = placeIn(t, 1, 1)
	s.mu.Unlock()
	s.tell(follow.FeedQuarantine, follow.EndGone{End: end})
	time.Sleep(2 * wait)
	require.Equal(t, 1, ends.Ends(request), "the store has lost it")
	s.tell(follow.FeedQuarantine, follow.EndGone{End: end})
	soon(t, func() bool { return ends.Ends(request) == 0 })
}
