package forward

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/chain"
	"junctioncross/front"
)

// reportFilled makes all servers of a group report that a share of their memory is used.
func reportFilled(g *backend.Group, share float64, now time.Time) {
	for _, s := range g.Servers() {
		s.SetMemory(share, 1, 0, now)
	}
}

// startStreams adds streams of a service that are under way, with the given ages; all streams seen before lasted for lifetime.
func startStreams(h *Handler, count int, lifetime time.Duration, age func(i int) time.Duration) *queue {
	q := h.queueOf("s")
	q.lifetimes = *constantSample(lifetime)
	for i := range count {
		f := &inflight{r: &request{route: &catalog.Route{PauseObjective: time.Minute}}}
		f.progressed.Store(true)
		f.touch(h)
		q.addUnderWay(f, h.clock.Now().Add(-age(i)))
	}
	return q
}

// newUnbegun returns a stream of a group that has not been sent yet.
func newUnbegun(h *Handler, g *backend.Group) *inflight {
	r := &request{
		x: &front.Exchange{}, group: g, route: &catalog.Route{Objective: 500 * time.Millisecond}, meta: call.Meta{Wait: 20 * time.Second},
		deadline: h.clock.Now().Add(20 * time.Second),
	}
	return &inflight{r: r, need: chain.Need{Prompt: 10, Tokens: 20}}
}

// startWait lets a request wait for its turn while the servers of a group are full and twenty streams of all ages are under way; the channel
// gets whether room came.
func startWait(t *testing.T, h *Handler, clock *clockwork.FakeClock, g *backend.Group) (*queue, <-chan bool) {
	t.Helper()
	clock.Advance(time.Minute)
	reportFilled(g, 1, clock.Now())
	q := startStreams(h, 20, 2*time.Second, func(i int) time.Duration { return time.Duration(i) * 100 * time.Millisecond })
	f := newUnbegun(h, g)
	q.join(f)
	got, until := make(chan bool, 1), clock.Now().Add(400*time.Millisecond)
	go func() {
		_, ok := h.awaitTurn(t.Context(), f, q, until)
		got <- ok
	}()
	waitForSleepers(t, clock)
	return q, got
}

// TestARequestIsRefusedAtOnceWhereNoStreamEndsInTime has only young streams: at their mean rate one would end in time, but by
// their ages none does.
func TestARequestIsRefusedAtOnceWhereNoStreamEndsInTime(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	clock.Advance(time.Minute)
	reportFilled(g, 1, clock.Now())
	q := startStreams(h, 20, 2*time.Second, func(int) time.Duration { return 100 * time.Millisecond })
	f := newUnbegun(h, g)
	q.join(f)
	// If it waited, it would block on the clock, which does not advance.
	_, ok := h.awaitTurn(t.Context(), f, q, clock.Now().Add(400*time.Millisecond))
	require.False(t, ok)
}

// TestARequestWaitsWhereRoomIsLikelyToComeInTime frees the servers' memory while the request waits.
func TestARequestWaitsWhereRoomIsLikelyToComeInTime(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	q, got := startWait(t, h, clock, g)
	require.Empty(t, got)
	reportFilled(g, 0, clock.Now())
	clock.Advance(roomPoll)
	require.True(t, <-got)
	require.EqualValues(t, 1, h.stats.Histogram(`wait_seen_ms{came="true"}`).Count())
	require.InDelta(t, (initialEnds+1)/initialEnds, q.admitted/q.endedWhileWaiting, 1e-9, "no own stream ended: others make room as well")
}

// TestAWaitEndsWhenRoomBecomesUnlikely stalls all streams during the wait, as when the instance is partitioned from the
// servers: streams that are stalled make no room.
func TestAWaitEndsWhenRoomBecomesUnlikely(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	q, got := startWait(t, h, clock, g)
	start := clock.Now()
	q.mu.Lock()
	for f := range q.underWay {
		f.lastAt.Store(int64(-time.Hour))
	}
	q.mu.Unlock()
	for clock.Since(start) < reviewInterval+roomPoll && len(got) == 0 {
		clock.Advance(roomPoll)
		if clock.Since(start) < reviewInterval {
			waitForSleepers(t, clock)
		}
	}
	require.False(t, <-got)
	require.EqualValues(t, 1, h.stats.Histogram(`wait_seen_ms{came="false"}`).Count())
}

// waitForSleepers waits until the tickers of the watcher and of the prober, and the request, sleep.
func waitForSleepers(t *testing.T, clock *clockwork.FakeClock) {
	t.Helper()
	const sleepers = 3
	require.NoError(t, clock.BlockUntilContext(t.Context(), sleepers))
}

// TestWithoutAPathARequestWaitsAsLongAsFormerOutagesLasted has a service without a path whose former outages were short, so
// that a request waits until the present one has lasted longer.
func TestWithoutAPathARequestWaitsAsLongAsFormerOutagesLasted(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	clock.Advance(time.Minute)
	q := h.queueOf("s")
	for _, s := range g.Servers() {
		s.SetAside(clock.Now().Add(time.Hour))
	}
	f := newUnbegun(h, g)
	until := func() time.Time { return clock.Now().Add(400 * time.Millisecond) }
	require.Less(t, h.predictWait(f, q, until()).likelihood, minLikelihoodToStart, "no outage has been seen yet")
	q.outages = *constantSample(200 * time.Millisecond)
	require.Greater(t, h.predictWait(f, q, until()).likelihood, 0.9)
	clock.Advance(time.Second)
	require.Less(t, h.predictWait(f, q, until()).likelihood, minLikelihoodToStart, "this outage has lasted longer already")
}

// TestWithoutAPathARequestWaitsForSilentServers guards against refusals for want of room while sound servers are silent for a moment.
func TestWithoutAPathARequestWaitsForSilentServers(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	clock.Advance(time.Minute)
	q := h.queueOf("s")
	q.outages = *constantSample(time.Hour)
	f := newUnbegun(h, g)
	likelihood := func() float64 { return h.predictWait(f, q, clock.Now().Add(400*time.Millisecond)).likelihood }
	for _, s := range g.Servers() {
		s.Suspect(clock.Now().Add(time.Hour))
	}
	require.Less(t, likelihood(), minLikelihoodToStart, "others wait for servers that answer")
	for _, s := range g.Servers() {
		s.NoteSilent(backend.Connected, clock.Now())
	}
	require.GreaterOrEqual(t, likelihood(), minLikelihoodToStart)
	for _, s := range g.Servers() {
		s.NoteSilent(backend.NotConnected, clock.Now())
	}
	require.Less(t, likelihood(), minLikelihoodToStart, "no connection to them comes up")
	for _, s := range g.Servers() {
		s.NoteAnswer(clock.Now(), clock.Now())
		s.Suspect(clock.Now().Add(time.Hour))
	}
	g.Servers()[0].NoteSilent(backend.Connected, clock.Now())
	require.Less(t, likelihood(), minLikelihoodToStart, "the silent server alone makes no path")
	for _, s := range g.Servers() {
		s.NoteSilent(backend.Connected, clock.Now())
	}
	require.GreaterOrEqual(t, likelihood(), minLikelihoodToStart)
	clock.Advance(backend.MaxSoundSilence)
	for _, s := range g.Servers() {
		s.NoteSilent(backend.Connected, clock.Now())
	}
	require.Less(t, likelihood(), minLikelihoodToStart, "they have been silent for longer than sound servers are")
}

// TestRetryAfterLeavesTimeForRequestsAhead refuses many callers at one moment. If all got the same Retry-After, there would be
// room for only some of them when they come back.
func TestRetryAfterLeavesTimeForRequestsAhead(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	clock.Advance(time.Minute)
	reportFilled(g, 1, clock.Now())
	q := startStreams(h, 40, 2*time.Second, func(i int) time.Duration { return time.Duration(i) * 50 * time.Millisecond })
	f := newUnbegun(h, g)
	q.mu.Lock()
	predicted := q.timeToRoomLocked(q.forecastLocked(clock.Now(), h.watch.stalled), clock.Now(), time.Minute)
	q.mu.Unlock()
	first := h.retryAfter(f.r)
	require.GreaterOrEqual(t, first, min(predicted, maxRetryAfter(f.r)))
	recognised := time.Duration((1 - returningShare) * float64(f.r.meta.Wait))
	require.GreaterOrEqual(t, first, recognised, "late enough to be recognised as returning")
	require.LessOrEqual(t, first, max(time.Duration((1+retryJitter)*float64(predicted)), recognised))
	for range 6 {
		h.retryAfter(f.r)
	}
	q.mu.Lock()
	then := q.timeToRoomLocked(q.forecastLocked(clock.Now(), h.watch.stalled), clock.Now(), time.Minute)
	q.mu.Unlock()
	require.Greater(t, then, predicted+500*time.Millisecond, "callers refused before go first")
	for range 1000 {
		require.LessOrEqual(t, h.retryAfter(f.r), maxRetryAfter(f.r), "no longer than the caller follows it")
	}
	clock.Advance(20 * time.Second)
	require.Zero(t, q.dueRetriesLocked(clock.Now(), clock.Now().Add(time.Minute)), "those who should have come are forgotten")
}

// maxRetryAfter returns the longest Retry-After that the caller of a request that has just arrived follows.
func maxRetryAfter(r *request) time.Duration {
	return time.Duration(maxRetryAfterShare * float64(r.meta.Wait))
}

// TestReturningCallersGoBeforeNewCallers has refused callers who come back within the time that a new caller would wait.
func TestReturningCallersGoBeforeNewCallers(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	clock.Advance(time.Minute)
	q := startStreams(h, 20, 2*time.Second, func(i int) time.Duration { return time.Duration(i) * 100 * time.Millisecond })
	until := clock.Now().Add(400 * time.Millisecond)
	f, back := newUnbegun(h, g), newUnbegun(h, g)
	back.returned = true
	before := h.predictWait(f, q, until)
	q.retryTimes = []time.Time{clock.Now().Add(100 * time.Millisecond), clock.Now().Add(200 * time.Millisecond), clock.Now().Add(time.Minute)}
	require.InDelta(t, before.places+2, h.predictWait(f, q, until).places, 1e-9)
	require.Less(t, h.predictWait(f, q, until).likelihood, before.likelihood)
	require.InDelta(t, 1, h.predictWait(back, q, until).places, 1e-9, "a returning caller waits for no other one")
}

// TestReturningCallersMayWaitAsLongAsTheirPatience compares how long new and returning callers, and requests that have run, may
// wait for a path.
func TestReturningCallersMayWaitAsLongAsTheirPatience(t *testing.T) {
	g := twoCopies()
	h, _ := testHandler(t, newFakeEngineClient(g))
	q := h.queueOf("s")
	q.firstEvents = *constantSample(80 * time.Millisecond)
	f := newUnbegun(h, g)
	require.Equal(t, 420*time.Millisecond, h.maxWait(f, q))
	f.returned = true
	require.Equal(t, patienceOf(f.r.route)-80*time.Millisecond, h.maxWait(f, q))
	f.returned, f.r.runs = false, 1
	require.Equal(t, patienceOf(f.r.route)-80*time.Millisecond, h.maxWait(f, q), "it has run: it can't be refused any more")
}

// TestAWaitForSilentServersEndsInTime guards against a wait that goes round without a pause once its time is over, while servers that may answer at
// any moment are silent: it used up a core, and its caller was told up to a second late.
func TestAWaitForSilentServersEndsInTime(t *testing.T) {
	for name, left := range map[string]time.Duration{"time is over": -time.Millisecond, "no time": 0, "some time": 2 * roomPoll} {
		t.Run(name, func(t *testing.T) {
			g := twoCopies()
			h, clock := testHandler(t, newFakeEngineClient(g))
			for _, s := range g.Servers() {
				s.Suspect(clock.Now().Add(time.Minute))
				s.NoteSilent(backend.Connected, clock.Now())
			}
			f, got := newUnbegun(h, g), make(chan bool, 1)
			q := h.queueOf("s")
			q.join(f)
			until := clock.Now().Add(left)
			go func() {
				_, ok := h.awaitTurn(t.Context(), f, q, until)
				got <- ok
			}()
			for clock.Now().Before(until) {
				waitForSleepers(t, clock)
				clock.Advance(roomPoll)
			}
			require.Eventually(t, func() bool { return len(got) == 1 }, testTimeout/10, time.Millisecond)
			require.False(t, <-got)
		})
	}
}
