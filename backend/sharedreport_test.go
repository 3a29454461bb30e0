package backend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// TestTheNewestSharedReportCounts lets two instances share their reports on one server.
func TestTheNewestSharedReportCounts(t *testing.T) {
	now := time.Unix(100, 0)
	entry := backend.Entry{ID: "s"}
	here, there := backend.NewServer(entry), backend.NewServer(entry)
	here.SetPace(12, now)
	here.SetMemory(500, 1000, 3, now)
	now = now.Add(400 * time.Millisecond)
	w, ok := here.Word(time.Time{}, now, true)
	require.True(t, ok)
	require.True(t, there.Hear(w, now), "the server has become slow")
	require.InDelta(t, 12, there.Pace(now), 1e-9)
	filled, known := there.Filled(now, maxReportAge, 1)
	require.True(t, known)
	require.InDelta(t, 0.5, filled, 1e-9)
	require.True(t, there.Crowded(now, maxReportAge))
	require.Equal(t, 400*time.Millisecond, there.WordAge(now))

	_, ok = there.Word(time.Time{}, now, true)
	require.False(t, ok, "a report from another instance is not an own one")
	back, ok := there.Word(time.Time{}, now.Add(time.Millisecond), false)
	require.True(t, ok)
	here.Hear(back, now.Add(20*time.Millisecond))
	_, ok = here.Word(time.Time{}, now, true)
	require.True(t, ok, "an own report that comes back does not count as newer")

	there.SetPace(1, now.Add(time.Second))
	there.SetMemory(100, 1000, 0, now.Add(time.Second))
	require.False(t, there.Hear(w, now.Add(time.Second)), "an older report changes nothing")
	require.InDelta(t, 1, there.Pace(now.Add(time.Second)), 1e-9)
}

// TestASharedReportOfSilenceKeepsNewWorkAwayForAWhile also checks that the server's streams are not cut: an instance may treat a
// server as dead only after its own state query.
func TestASharedReportOfSilenceKeepsNewWorkAwayForAWhile(t *testing.T) {
	now := time.Unix(100, 0)
	entry := backend.Entry{ID: "s"}
	here, there := backend.NewServer(entry), backend.NewServer(entry)
	here.NoteSilent(now)
	w, ok := here.Word(time.Time{}, now, true)
	require.True(t, ok)
	require.True(t, there.Hear(w, now))
	require.False(t, there.Usable(now))
	require.False(t, there.Suspected(now))
	require.False(t, there.Ended())
	require.True(t, there.Usable(now.Add(time.Second)))
}
