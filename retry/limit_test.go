package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/retry"
)

// TestAWindowTakesOverNewLimitsAndKeepsItsCounts changes share and length while repeats are counted.
func TestAWindowTakesOverNewLimitsAndKeepsItsCounts(t *testing.T) {
	now := time.Unix(0, 0)
	w := retry.NewWindow(10*time.Second, 0, now)
	for range 100 {
		w.Request(now)
	}
	require.True(t, w.Take(now, 1))
	require.False(t, w.Take(now, 1))
	w.Limit(10*time.Second, 0.03)
	require.True(t, w.Take(now, 1), "the new share allows three more")
	w.Limit(time.Second, 0.03)
	require.True(t, w.Take(now, 1))
	require.True(t, w.Take(now, 1))
	require.False(t, w.Take(now, 1), "what was counted counts on")
	later := now.Add(2 * time.Second)
	require.True(t, w.Take(later, 1))
	require.False(t, w.Take(later, 1), "the shorter window is over")
}
