package relay

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"junctioncross/timer"
)

// TestRelayCountsItsPollers lets three instances poll, one of which stops polling.
func TestRelayCountsItsPollers(t *testing.T) {
	fake := clockwork.NewFakeClock()
	asked := newPollerCounter(timer.New(fake))
	for _, name := range []string{"a", "b", "c", "a"} {
		asked.add(name)
	}
	require.Zero(t, asked.count(), "others may not have polled yet")
	fake.Advance(pollerCountDelay)
	require.Equal(t, 3, asked.count())
	fake.Advance(pollerTTL)
	asked.add("a")
	asked.add("b")
	require.Equal(t, 2, asked.count())
	fake.Advance(time.Second)
	require.Equal(t, 2, asked.count())
}
