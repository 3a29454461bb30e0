package reach

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOtherInstancesAreAskedOnceAPeriodForADomainThatNobodyReaches(t *testing.T) {
	var o outage
	now := time.Unix(0, 0)
	for _, addr := range []string{"a", "b", "b"} {
		require.True(t, o.mayAsk(now))
		o.noteFailed(addr, now)
	}
	require.True(t, o.mayAsk(now), "two servers may be gone")
	o.noteFailed("c", now)
	asked := 0
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		if o.mayAsk(now) {
			asked++
			o.noteFailed("d", now)
		}
	}
	require.Equal(t, 5, asked)
	o.noteReached()
	require.True(t, o.mayAsk(now))
}

func TestFailuresOfLongAgoAreNoOutage(t *testing.T) {
	var o outage
	now := time.Unix(0, 0)
	for _, addr := range []string{"a", "b", "c", "d"} {
		o.noteFailed(addr, now)
		now = now.Add(window)
	}
	require.True(t, o.mayAsk(now))
}
