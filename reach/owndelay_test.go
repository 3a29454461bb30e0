package reach

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAnInstanceThatIsLateTakesNoPathForLost guards against tunnels around links that only seem slow to an instance short of processor time.
func TestAnInstanceThatIsLateTakesNoPathForLost(t *testing.T) {
	const ownDelay = 100 * time.Millisecond
	d := newDialerTest(t)
	d.direct.set(nil, true)
	d.Dialer.clock.NoteDelay(ownDelay, time.Hour)
	dialed := make(chan error, 1)
	go func() { dialed <- d.dial(t, "a") }()
	require.NoError(t, <-dialed, "another instance is asked in the end")
	// The prober and the wait for the own links.
	require.NoError(t, d.clock.BlockUntilContext(t.Context(), 2))
	d.clock.Advance(2 * lostDelay)
	time.Sleep(20 * time.Millisecond)
	require.False(t, d.Lost("a"))
	for end := d.clock.Now().Add(4 * time.Second); d.clock.Now().Before(end) && !d.Lost("a"); {
		d.clock.Advance(lostDelay / 4)
		time.Sleep(time.Millisecond)
	}
	require.True(t, d.Lost("a"), "a path that is really lost is found all the same")
}
