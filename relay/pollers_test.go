package relay

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"junctioncross/timer"
)

// TestARelayCountsThoseThatAsk lets instances ask, of whom one asks no more.
func TestARelayCountsThoseThatAsk(t *testing.T) {
	fake := clockwork.NewFakeClock()
	asked := newTally(timer.New(fake))
	for _, name := range []string{"a", "b", "c", "a"} {
		asked.note(name)
	}
	require.Zero(t, asked.size(), "others may not have asked yet")
	fake.Advance(tallyTime)
	require.Equal(t, 3, asked.size())
	fake.Advance(tallyKeep)
	asked.note("a")
	asked.note("b")
	require.Equal(t, 2, asked.size())
	fake.Advance(time.Second)
	require.Equal(t, 2, asked.size())
}
