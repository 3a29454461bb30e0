package forward

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/catalog"
	"junctioncross/chain"
	"junctioncross/demand"
	"junctioncross/front"
)

// newWaiting returns a request that waits for room.
func newWaiting(rank demand.Rank, returned bool) *inflight {
	return &inflight{r: &request{rank: rank}, returned: returned}
}

func TestRequestsWaitInTheOrderInWhichTheyCame(t *testing.T) {
	q := newQueue()
	a, b := newWaiting(demand.Rank{}, false), newWaiting(demand.Rank{}, false)
	require.Zero(t, q.join(a))
	require.Equal(t, 1, q.join(b))
	require.True(t, q.isFirst(a))
	require.False(t, q.isFirst(b))
	q.leave(a)
	require.True(t, q.isFirst(b))
}

func TestReturningCallersGoFirst(t *testing.T) {
	q := newQueue()
	early, late := newWaiting(demand.Rank{}, false), newWaiting(demand.Rank{}, false)
	back, backLater := newWaiting(demand.Rank{}, true), newWaiting(demand.Rank{}, true)
	q.join(early)
	require.Zero(t, q.join(back))
	require.Equal(t, 1, q.join(backLater))
	require.Equal(t, 3, q.join(late))
	for _, f := range []*inflight{back, backLater, early, late} {
		require.True(t, q.isFirst(f))
		q.leave(f)
	}
}

func TestCallersWithLessTimeThanUsualAreReturning(t *testing.T) {
	w := longestWaits{}
	returning := func(route string, wait time.Duration) bool { return w.shareOfLongest(route, wait) < returningShare }
	require.False(t, returning("r", 20*time.Second))
	require.True(t, returning("r", 16*time.Second))
	require.False(t, returning("r", 19900*time.Millisecond), "it was sent again at once")
	require.False(t, returning("other", 5*time.Second))
	for range 2000 {
		returning("r", 10*time.Second)
	}
	require.False(t, returning("r", 10*time.Second), "callers have become less patient")
}

func TestPathOutagesAreRecordedWhenTheyEnd(t *testing.T) {
	q, start := newQueue(), time.Unix(100, 0)
	for _, step := range []struct {
		at     time.Duration
		path   bool
		outage time.Duration
	}{{0, true, 0}, {1, false, 0}, {3, false, 2}, {6, true, 5}, {9, true, 0}, {20, false, 0}, {21, false, 1}} {
		outage, ongoing := q.observePath(step.path, start.Add(step.at*time.Second))
		require.Equal(t, !step.path, ongoing)
		require.Equal(t, step.outage*time.Second, outage)
	}
	require.Len(t, q.outages.latest, initialSamples+1)
	require.Equal(t, 5*time.Second, q.outages.latest[initialSamples], "the present outage has not ended")
}

func TestLongAnswersCountForSeveralPlaces(t *testing.T) {
	g := twoCopies()
	f := &inflight{r: &request{group: g}, need: chain.Need{Prompt: 100, Tokens: 140}}
	require.InDelta(t, 1, f.places(), 1e-9, "the usual answer")
	f.need.Tokens = 120
	require.InDelta(t, 1, f.places(), 1e-9, "a short one")
	f.need.Tokens = 180
	require.InDelta(t, 2, f.places(), 1e-9)
	f.need.Tokens = 5000
	require.InDelta(t, maxPlaces, f.places(), 1e-9, "it is bounded, so that long answers are not always refused")
}

// TestRequestsThatArriveTogetherAllTakeTheFreeRoom sends requests to an idle instance at one moment. No stream is under way
// whose end would make room, so a request that queued behind the others would be refused although there is room for all.
func TestRequestsThatArriveTogetherAllTakeTheFreeRoom(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	clock.Advance(time.Minute)
	var all sync.WaitGroup
	found := make([]bool, 20)
	for n := range found {
		all.Go(func() {
			x := &front.Exchange{}
			r := &request{x: x, group: g, route: &catalog.Route{Objective: 500 * time.Millisecond}, deadline: clock.Now().Add(time.Minute)}
			_, found[n] = h.awaitPath(t.Context(), &inflight{r: r, need: chain.Need{Prompt: 10, Tokens: 20}})
		})
	}
	all.Wait()
	for _, ok := range found {
		require.True(t, ok)
	}
}

// TestMoreUrgentRequestsGoFirst queues the less urgent requests first, one of them from a returning caller.
func TestMoreUrgentRequestsGoFirst(t *testing.T) {
	q := newQueue()
	lessAccount, lessRoute := newWaiting(demand.Rank{Account: 2, Route: 0}, true), newWaiting(demand.Rank{Account: 1, Route: 2}, false)
	most, mostLater := newWaiting(demand.Rank{Account: 1, Route: 1}, false), newWaiting(demand.Rank{Account: 1, Route: 1}, false)
	for _, f := range []*inflight{lessAccount, lessRoute, most, mostLater} {
		q.join(f)
	}
	for _, f := range []*inflight{most, mostLater, lessRoute, lessAccount} {
		require.True(t, q.isFirst(f))
		q.leave(f)
	}
}

// TestLessUrgentRequestsAreNotOvertakenForever lets a more urgent request arrive for each turn.
func TestLessUrgentRequestsAreNotOvertakenForever(t *testing.T) {
	q := newQueue()
	less := newWaiting(demand.Rank{Account: 2}, false)
	q.join(less)
	for range maxOvertaken {
		f := newWaiting(demand.Rank{Account: 1}, false)
		q.join(f)
		require.True(t, q.isFirst(f))
		q.leave(f)
	}
	q.join(newWaiting(demand.Rank{Account: 1}, false))
	require.True(t, q.isFirst(less))
}

func TestTheAccountIsRankedBeforeTheRoute(t *testing.T) {
	urgent, background := &catalog.Route{Priority: 0}, &catalog.Route{Priority: 3}
	account := &catalog.Account{Priority: 1}
	require.Negative(t, rankOf(account, background).Compare(rankOf(&catalog.Account{Priority: 2}, urgent)))
	require.Negative(t, rankOf(account, urgent).Compare(rankOf(account, background)))
	require.Zero(t, rankOf(account, background).Compare(rankOf(account, background)))
	require.Negative(t, rankOf(nil, urgent).Compare(rankOf(account, urgent)), "a public route is ranked by itself")
}

// TestARequestThatWaitsForRoomEndsWhenItsCallerDisconnects cancels a request that never gets its turn.
func TestARequestThatWaitsForRoomEndsWhenItsCallerDisconnects(t *testing.T) {
	// The tickers of the watcher and of the prober, and the request.
	const sleepers = 3
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool, 1)
	go func() {
		f := &inflight{r: &request{group: g}}
		_, found := h.awaitRoom(ctx, f, func() bool { return false }, clock.Now().Add(time.Hour))
		ended <- found
	}()
	require.NoError(t, clock.BlockUntilContext(t.Context(), sleepers))
	cancel()
	require.False(t, <-ended, "although its time is not over")
}
