package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLanesAreKeptForAShortTimeWhilePacesChange has the pace of a server change at once, and the server set aside at once.
func TestLanesAreKeptForAShortTimeWhilePacesChange(t *testing.T) {
	g, now := twoCopies(), time.Unix(1000, 0)
	period := time.Duration(len(g.Servers())) * searchPeriodPerServer
	var b laneCache
	_, changed := b.get(g, now)
	require.True(t, changed)
	for _, s := range g.Servers() {
		s.SetPace(3, now)
	}
	_, changed = b.get(g, now.Add(period-1))
	require.False(t, changed)
	_, changed = b.get(g, now.Add(period))
	require.True(t, changed, "the lanes are narrower on slow servers")
	for _, s := range g.Servers() {
		s.SetAside(now.Add(time.Minute))
	}
	lanes, changed := b.get(g, now.Add(period))
	require.True(t, changed, "a server that must get no new work counts at once")
	require.Empty(t, lanes)
}
