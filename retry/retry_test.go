package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/retry"
)

func TestCircuitOpensLongerWithEachFailureAndLetsOneTrialThrough(t *testing.T) {
	now := time.Unix(100, 0)
	var c retry.Circuit
	require.False(t, c.Open(now))
	last := time.Duration(0)
	for range 8 {
		c.Failed(now)
		pause := time.Duration(0)
		for c.Open(now.Add(pause)) {
			pause += 10 * time.Millisecond
		}
		require.GreaterOrEqual(t, pause, last)
		last = pause
		now = now.Add(pause)
		c.StartTrial()
		require.True(t, c.Open(now), "a second trial at the same time")
	}
	c.ReleaseTrial()
	require.False(t, c.Open(now))
	c.Succeeded()
	for range 100 {
		c.Failed(now)
	}
	require.False(t, c.Open(now.Add(time.Second)), "failures at the same time count once")
	c.Succeeded()
	require.False(t, c.Open(time.Unix(0, 0)))
}

func TestPauseGrowsAndStaysBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 100).Draw(t, "retry")
		p := retry.Pause(n, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		require.GreaterOrEqual(t, p, time.Duration(0))
		require.LessOrEqual(t, p, 500*time.Millisecond)
		if n == 0 {
			require.Zero(t, p)
		}
	})
}

func TestDoubledPausesGrowAndNeverExceedTheLongest(t *testing.T) {
	const first, longest = 250 * time.Millisecond, 8 * time.Second
	require.Equal(t, first, retry.Backoff(first, longest, 0))
	require.Equal(t, 4*time.Second, retry.Backoff(first, longest, 4))
	for _, times := range []int{5, 6, 63, 64, 1 << 30} {
		require.Equal(t, longest, retry.Backoff(first, longest, times))
	}
}

// TestASilenceOfASecondDoesNotKeepTheCircuitOpenForLong guards against a server that gets no work for seconds after it has answered.
func TestASilenceOfASecondDoesNotKeepTheCircuitOpenForLong(t *testing.T) {
	const soundSilence, atOnce = 1500 * time.Millisecond, 300 * time.Millisecond
	now := time.Unix(100, 0)
	var c retry.Circuit
	for begin := now; now.Sub(begin) < soundSilence; now = now.Add(atOnce) {
		c.FailedSilent(now, soundSilence)
		require.True(t, c.Open(now))
		require.True(t, c.Late(now, soundSilence))
		require.False(t, c.Open(now.Add(atOnce)))
		c.StartTrial()
	}
	for range 3 {
		c.FailedSilent(now, soundSilence)
		require.False(t, c.Late(now, soundSilence))
		require.True(t, c.Open(now.Add(time.Second)), "it is silent for longer than a sound server")
		now = now.Add(10 * time.Second)
	}
	c.Succeeded()
	c.Failed(now)
	c.FailedSilent(now.Add(time.Second), soundSilence)
	require.False(t, c.Late(now.Add(time.Second), soundSilence), "it has failed otherwise")
}
