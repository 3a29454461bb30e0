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
	pollers := newPollerCounter(timer.New(fake))
	for _, name := range []string{"a", "b", "c", "a"} {
		pollers.add(name)
	}
	require.Zero(t, pollers.count(), "others may not have polled yet")
	fake.Advance(pollerCountDelay)
	require.Equal(t, 3, pollers.count())
	fake.Advance(pollerTTL)
	pollers.add("a")
	pollers.add("b")
	require.Equal(t, 2, pollers.count())
	fake.Advance(time.Second)
	require.Equal(t, 2, pollers.count())
}
