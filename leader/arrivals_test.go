package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestServersThatAppearTogetherAreWaitedFor lets the entries of a domain come back after a partition.
func TestServersThatAppearTogetherAreWaitedFor(t *testing.T) {
	const nothingMissing, nearlyAllMissing = 0.0, 0.8
	start := time.Unix(100, 0)
	var a arrivals
	require.False(t, a.expectsMore(start, nearlyAllMissing), "nothing has appeared")
	a = a.add(start)
	require.True(t, a.expectsMore(start, nearlyAllMissing), "the first server of a domain that lacks nearly all layers")
	require.False(t, a.expectsMore(start, nothingMissing), "one server that comes back or replaces another")
	for i := range arrivalBurst {
		a = a.add(start.Add(time.Duration(i) * 200 * time.Millisecond))
	}
	last := start.Add(400 * time.Millisecond)
	require.True(t, a.expectsMore(last.Add(arrivalGap/2), nothingMissing), "several within a heartbeat")
	require.False(t, a.expectsMore(last.Add(arrivalGap), nearlyAllMissing), "no further server has appeared")
	for i := range 10 {
		a = a.add(start.Add(time.Duration(i) * time.Second))
	}
	require.False(t, a.expectsMore(start.Add(9*time.Second), nearlyAllMissing), "the wait is limited")
	later := start.Add(time.Minute)
	require.True(t, a.add(later).expectsMore(later.Add(time.Second), nearlyAllMissing), "a later return is waited for again")
}

// TestRollingReleaseDoesNotDelayMoves replaces the servers of a domain one after the other.
func TestRollingReleaseDoesNotDelayMoves(t *testing.T) {
	start := time.Unix(100, 0)
	var a arrivals
	for i := range 5 {
		now := start.Add(time.Duration(i) * time.Second)
		a = a.add(now)
		require.False(t, a.expectsMore(now, 0.35), "a third of the model is missing")
	}
}
