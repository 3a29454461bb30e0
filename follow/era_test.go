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

// position returns the Position of a revision in an era.
func position(t *testing.T, era, revision int64) follow.Position {
	at, ok := follow.PositionOf(era, revision)
	require.True(t, ok)
	return at
}

func TestPositionsOfALaterEraCompareGreater(t *testing.T) {
	require.Greater(t, position(t, 2, 0), position(t, 1, 1<<40))
	require.Equal(t, int64(7), position(t, 3, 7).Revision())
	require.Equal(t, int64(3), position(t, 3, 7).Era())
	for _, bad := range [][2]int64{{-1, 0}, {0, -1}, {1 << 15, 0}, {0, 1 << 48}} {
		_, ok := follow.PositionOf(bad[0], bad[1])
		require.False(t, ok, "%v", bad)
	}
}

// TestAnEntryOfALaterEraIsAppliedDespiteASmallerRevision guards against ignoring a leave notice as late: a store that
// has lost writes assigns smaller revisions again.
func TestAnEntryOfALaterEraIsAppliedDespiteASmallerRevision(t *testing.T) {
	s := newSource()
	b := start(t, s)
	s.add(follow.FeedConfig, config(t, 1))
	s.add(follow.FeedServers, serverEntry("a", 1000, int64(position(t, 1, 900)), false))
	eventually(t, func() bool { return onlyServer(b) != nil })
	s.add(follow.FeedServers, serverEntry("a", 1000, int64(position(t, 2, 880)), true))
	eventually(t, func() bool { return onlyServer(b).LeavingFor(time.Now()) > 0 })
}

// TestALeaveNoticeHoldsWhenAnEarlierEntryIsRestored removes the entry of a leaving server; then the store is restored
// from a backup copy with the server's entry from before its leave notice.
func TestALeaveNoticeHoldsWhenAnEarlierEntryIsRestored(t *testing.T) {
	s := newSource()
	b := start(t, s)
	s.add(follow.FeedConfig, config(t, 1))
	s.add(follow.FeedServers, serverEntry("a", 1000, int64(position(t, 1, 10)), false))
	s.add(follow.FeedServers, serverEntry("a", 1000, int64(position(t, 1, 20)), true))
	eventually(t, func() bool { return onlyServer(b) != nil && onlyServer(b).Leaving() })
	s.add(follow.FeedServers, follow.ServerGone{ID: "a"})
	eventually(t, func() bool { return onlyServer(b) == nil })
	s.add(follow.FeedServers, serverEntry("a", 1000, int64(position(t, 2, 10)), false))
	eventually(t, func() bool { return onlyServer(b) != nil })
	require.True(t, onlyServer(b).Leaving())
}

// TestAServerGetsNoWorkWhileItsRestoredEntryMayBeStale restores the store from a copy after the entry of a server that
// left without notice was removed. The copy's entry, under the same revision, must not bring work to the server; an
// entry that a live server has written again must.
func TestAServerGetsNoWorkWhileItsRestoredEntryMayBeStale(t *testing.T) {
	for name, c := range map[string]struct {
		revision int64
		usable   bool
	}{"restored from the copy": {10, false}, "written again": {11, true}} {
		t.Run(name, func(t *testing.T) {
			s := newSource()
			b := start(t, s)
			s.add(follow.FeedConfig, config(t, 1))
			s.add(follow.FeedServers, serverEntry("a", 1000, int64(position(t, 1, 10)), false))
			eventually(t, func() bool { return onlyServer(b) != nil })
			s.add(follow.FeedServers, follow.ServerGone{ID: "a"})
			eventually(t, func() bool { return onlyServer(b) == nil })
			s.add(follow.FeedServers, serverEntry("a", 1000, int64(position(t, 2, c.revision)), false))
			eventually(t, func() bool { return onlyServer(b) != nil })
			require.Equal(t, c.usable, onlyServer(b).Usable(time.Now()))
			require.True(t, onlyServer(b).Usable(time.Now().Add(time.Minute)), "it is not set aside forever")
		})
	}
}

// TestAnOlderConfigurationInTheStoreIsNotConfirmed restores the store with configurations older than the one in force:
// until that one is written again, nothing confirms that the configuration in force is still the newest.
func TestAnOlderConfigurationInTheStoreIsNotConfirmed(t *testing.T) {
	s := newSource()
	b, lines := startLogged(t, s)
	ignored := func() bool {
		return slices.ContainsFunc(lines.AllEntries(), func(e *logrus.Entry) bool { return e.Message == "older configuration ignored" })
	}
	s.add(follow.FeedConfig, config(t, 5))
	eventually(t, func() bool { return b.Current().Catalog() != nil })
	s.add(follow.FeedConfig, config(t, 3))
	eventually(t, ignored)
	confirmed := b.Confirmed()
	s.add(follow.FeedConfig, config(t, 4))
	time.Sleep(2 * pollTime)
	require.Equal(t, int64(5), b.Current().Catalog().Version())
	require.Equal(t, confirmed, b.Confirmed())
	s.add(follow.FeedConfig, config(t, 5))
	eventually(t, func() bool { return b.Confirmed().After(confirmed) })
}

// TestEndsThatTheStoreLostStillCount has the store lose the record of an end in a loss of writes, which is no removal,
// and then removes the end.
func TestEndsThatTheStoreLostStillCount(t *testing.T) {
	s, b := newSource(), follow.NewFleetView()
	ends := quarantine.NewBook(quarantine.Settings{Ends: 2, EndsOfOne: 3, Keep: time.Hour, MaxRequests: 10})
	follow.New(t.Context(), s, b, ends, timer.NewReal(), metrics.New(), testlog.New(t))
	request := quarantine.FingerprintOf([]byte("h"), []byte("/"), "a", nil)
	end := quarantine.NewEnd(request, "server", "attempt")
	eventually(t, func() bool {
		// A change that is added before the first full read does not arrive, so it is added until it has.
		s.add(follow.FeedQuarantine, follow.EndSeen{End: end})
		return ends.Ends(request) == 1
	})
	eventually(t, func() bool {
		// Records of the end that are still to arrive would be records of the store that has lost its writes.
		s.mu.Lock()
		defer s.mu.Unlock()
		arrived := len(s.pending[follow.FeedQuarantine]) == 0
		if arrived {
			s.at = position(t, 1, 1)
		}
		return arrived
	})
	s.add(follow.FeedQuarantine, follow.EndGone{End: end})
	time.Sleep(2 * pollTime)
	require.Equal(t, 1, ends.Ends(request), "a record that the store has lost still counts")
	s.add(follow.FeedQuarantine, follow.EndGone{End: end})
	eventually(t, func() bool { return ends.Ends(request) == 0 })
}
