package timer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/timer"
)

func TestHalfJitterStaysBetweenHalfOfTheLimitAndTheLimit(t *testing.T) {
	require.Zero(t, timer.HalfJitter(0))
	delays := map[time.Duration]bool{}
	for range 1000 {
		delay := timer.HalfJitter(time.Second)
		require.GreaterOrEqual(t, delay, time.Second/2)
		require.LessOrEqual(t, delay, time.Second)
		delays[delay] = true
	}
	require.Greater(t, len(delays), 1, "instances that failed together would retry together")
}
