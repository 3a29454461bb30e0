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
	w, ok := here.SharedReport(time.Time{}, now, true)
	require.True(t, ok)
	require.True(t, there.ApplySharedReport(w, now), "the server has become slow")
	require.InDelta(t, 12, there.Pace(now), 1e-9)
	filled, known := there.Filled(now, maxReportAge, 1)
	require.True(t, known)
	require.InDelta(t, 0.5, filled, 1e-9)
	require.True(t, there.HasQueue(now, maxReportAge))
	require.Equal(t, 400*time.Millisecond, there.ReportAge(now))

	_, ok = there.SharedReport(time.Time{}, now, true)
	require.False(t, ok, "a report from another instance is not an own one")
	back, ok := there.SharedReport(time.Time{}, now.Add(time.Millisecond), false)
	require.True(t, ok)
	here.ApplySharedReport(back, now.Add(20*time.Millisecond))
	_, ok = here.SharedReport(time.Time{}, now, true)
	require.True(t, ok, "an own report that comes back does not count as newer")

	there.SetPace(1, now.Add(time.Second))
	there.SetMemory(100, 1000, 0, now.Add(time.Second))
	require.False(t, there.ApplySharedReport(w, now.Add(time.Second)), "an older report changes nothing")
	require.InDelta(t, 1, there.Pace(now.Add(time.Second)), 1e-9)
}

// TestASharedReportOfSilenceKeepsNewWorkAwayForAWhile also checks that the server's streams are not cut: an instance may treat a
// server as dead only after its own state query.
func TestASharedReportOfSilenceKeepsNewWorkAwayForAWhile(t *testing.T) {
	now := time.Unix(100, 0)
	entry := backend.Entry{ID: "s"}
	here, there := backend.NewServer(entry), backend.NewServer(entry)
	here.NoteSilent(backend.Connected, now)
	w, ok := here.SharedReport(time.Time{}, now, true)
	require.True(t, ok)
	require.True(t, there.ApplySharedReport(w, now))
	require.False(t, there.Usable(now))
	require.False(t, there.Suspected(now))
	require.False(t, there.Ended())
	require.True(t, there.Usable(now.Add(time.Second)))
}
