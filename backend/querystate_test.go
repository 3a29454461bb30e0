package backend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// TestDiagnosesOfAllInstancesAreCountedOnce passes the diagnoses of two instances to and fro.
func TestDiagnosesOfAllInstancesAreCountedOnce(t *testing.T) {
	now := time.Unix(100, 0)
	here, there := backend.NewServer(backend.Entry{ID: "s"}), backend.NewServer(backend.Entry{ID: "s"})
	pass := func(from, to *backend.Server, sent time.Time, transit time.Duration) {
		r, ok := from.SharedReport(time.Time{}, sent, false)
		require.True(t, ok)
		to.ApplySharedReport(r, sent.Add(transit))
	}
	for range 3 {
		here.SetMemory(1, 10, 0, now)
		here.NoteFoundWell(now)
		pass(here, there, now.Add(50*time.Millisecond), 20*time.Millisecond)
		pass(there, here, now.Add(80*time.Millisecond), 15*time.Millisecond)
		now = now.Add(300 * time.Millisecond)
	}
	require.Equal(t, 3, here.QueryState().FoundWell)
	require.Equal(t, 3, there.QueryState().FoundWell)

	now = now.Add(time.Second)
	there.SetMemory(1, 10, 0, now)
	there.NoteFoundWell(now)
	require.Equal(t, 1, there.QueryState().FoundWell, "a time without stalls ends the row")

	later := now.Add(2 * time.Second)
	r, ok := there.SharedReport(time.Time{}, later, false)
	require.True(t, ok)
	require.Zero(t, r.FoundWell, "too long ago")
	r.FoundWell = -time.Second
	here.ApplySharedReport(r, later)
	require.Equal(t, 3, here.QueryState().FoundWell, "from the future")
}
