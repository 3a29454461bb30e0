package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/follow"
)

func TestRequestsWaitInTheOrderInWhichTheyCame(t *testing.T) {
	q := newQueue()
	a, b := &inflight{}, &inflight{}
	require.Zero(t, q.join(a))
	require.Equal(t, 1, q.join(b))
	require.True(t, q.first(a))
	require.False(t, q.first(b))
	q.leave(a)
	require.True(t, q.first(b))
}

func TestTheWaitIsPredictedFromTheStreamsThatEnd(t *testing.T) {
	q := newQueue()
	for range 200 {
		q.ended(2 * time.Second)
	}
	require.InDelta(t, 100, q.wait(0, 20).Milliseconds(), 5, "one of twenty streams of two seconds ends in a tenth of a second")
	require.InDelta(t, 300, q.wait(2, 20).Milliseconds(), 15)
}

// TestARequestWaitsForTheFirstConfiguration lets a request arrive before the configuration does.
func TestARequestWaitsForTheFirstConfiguration(t *testing.T) {
	// The tickers of the watcher and of the prober, and the request.
	const sleepers = 3
	h, clock := testHandler(t, nil)
	got := make(chan *follow.Snapshot, 1)
	go func() { got <- h.awaitCatalog(t.Context()) }()
	for waited := time.Duration(0); waited < catalogWait; waited += catalogPoll {
		require.Empty(t, got, "it is not refused at once")
		require.NoError(t, clock.BlockUntilContext(t.Context(), sleepers))
		clock.Advance(catalogPoll)
	}
	require.Nil(t, (<-got).Catalog(), "without a configuration it is refused in time")
}
