package timer_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"junctioncross/timer"
)

func TestSleepEndsAfterItsDurationOrWithItsContext(t *testing.T) {
	clock := clockwork.NewFakeClock()
	slept := make(chan bool, 1)
	go func() { slept <- timer.New(clock).Sleep(t.Context(), time.Second) }()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Second)
	require.True(t, <-slept)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, timer.New(clock).Sleep(ctx, time.Second))
}
