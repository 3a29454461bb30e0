package backend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

const maxReportAge = 5 * time.Second

// TestMemoryFollowsTheReportAndTheOwnReservationsSince reserves and releases memory after a report: the known use must follow at
// once, not only with the next report.
func TestMemoryFollowsTheReportAndTheOwnReservationsSince(t *testing.T) {
	now := time.Unix(100, 0)
	s := backend.NewServer(backend.Entry{ID: "s"})
	_, known := s.Filled(now, maxReportAge, 1)
	require.False(t, known)
	s.Reserve(100)
	s.SetMemory(500, 1000, 0, now)
	filled, known := s.Filled(now, maxReportAge, 1)
	require.True(t, known)
	require.InDelta(t, 0.5, filled, 1e-9, "the report includes this instance's reservation")
	s.Reserve(200)
	filled, _ = s.Filled(now, maxReportAge, 1)
	require.InDelta(t, 0.7, filled, 1e-9)
	filled, _ = s.Filled(now, maxReportAge, 2)
	require.InDelta(t, 0.9, filled, 1e-9, "another instance has probably added as much")
	s.Release(100)
	filled, _ = s.Filled(now, maxReportAge, 1)
	require.InDelta(t, 0.6, filled, 1e-9)
	_, known = s.Filled(now.Add(maxReportAge+1), maxReportAge, 1)
	require.False(t, known, "the report is too old")
}

// TestAServerWithoutRoomCountsAsFullUntilItsReportIsNewer refuses work although the last report shows free memory: that report is
// too old to show what filled the server, which therefore counts as full for a short time.
func TestAServerWithoutRoomCountsAsFullUntilItsReportIsNewer(t *testing.T) {
	now := time.Unix(100, 0)
	s := backend.NewServer(backend.Entry{ID: "s"})
	s.SetMemory(100, 1000, 0, now)
	s.NoteMemoryFull(now)
	filled, known := s.Filled(now, maxReportAge, 1)
	require.True(t, known)
	require.InDelta(t, 1, filled, 1e-9)
	require.True(t, s.Usable(now), "repairs may still use it")
	filled, _ = s.Filled(now.Add(time.Second), maxReportAge, 1)
	require.InDelta(t, 0.1, filled, 1e-9)
}
