package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// queriesOfDiagnoses returns how often eight diagnoses in a row query two servers that are well; the streams moved shortly before
// each.
func queriesOfDiagnoses(t *testing.T, share bool) (first, other int) {
	g := twoCopies()
	engines := newFakeEngineClient(g)
	h, clock := testHandler(t, engines)
	servers := g.Servers()
	for range 8 {
		clock.Advance(diagnosePeriod)
		now := clock.Now()
		if share {
			h.fleetView.ApplySharedReports([]backend.SharedReport{{ID: "other"}}, now)
		}
		why := suspicion{stillSince: now.Add(-130 * time.Millisecond), overdue: 20 * time.Millisecond, stallLimit: minStall}
		h.watch.queryServers(t.Context(), servers[0], g, map[*backend.Server]suspicion{servers[0]: why, servers[1]: why})
	}
	engines.mu.Lock()
	defer engines.mu.Unlock()
	return engines.queries[servers[0].Addr()], engines.queries[servers[1].Addr()]
}

// TestDiagnosesSaveQueriesOnlyWhileReportsAreShared compares a small fleet, whose instances share no reports, with one that does.
func TestDiagnosesSaveQueriesOnlyWhileReportsAreShared(t *testing.T) {
	first, other := queriesOfDiagnoses(t, false)
	require.Equal(t, 8, first)
	require.Equal(t, 8, other)
	first, other = queriesOfDiagnoses(t, true)
	require.Less(t, first, 8)
	require.Less(t, other, 8)
}
