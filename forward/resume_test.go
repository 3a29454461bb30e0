package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/chain"
	"junctioncross/front"
	"junctioncross/models"
	"junctioncross/retry"
)

// newBegunStream returns a stream whose answer started on some servers of a group; its route lets at most attempts servers run
// one request.
func newBegunStream(g *backend.Group, attempts int, ran ...int) *inflight {
	route := &catalog.Route{PauseObjective: 200 * time.Millisecond, Timeout: time.Minute, MaxAttempts: attempts}
	f := &inflight{r: &request{x: &front.Exchange{}, group: g, route: route}}
	for _, n := range ran {
		f.r.ranOn(g.Servers()[n])
	}
	return f
}

// TestTerminatedServersDoNotCountAsAttempts has a stream run on two servers, of which one terminates.
func TestTerminatedServersDoNotCountAsAttempts(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g, 0))
	h.ApplySettings(Settings{Domain: "a", Repeats: retry.Limit{Window: 10 * time.Second, Fixed: 10}})
	f := newBegunStream(g, 2, 0, 2)
	for _, s := range []int{0, 2} {
		g.Servers()[s].SetAside(clock.Now().Add(time.Second))
	}
	_, obstacle := h.resumePath(f)
	require.Equal(t, models.ReasonAttemptsUsedUp, obstacle)
	h.queryFormer(t.Context(), activeServers(f.r.ran))
	require.Equal(t, 1, f.r.activeRuns(), "the queries show that a server has terminated")
	clock.Advance(time.Second)
	_, obstacle = h.resumePath(f)
	require.Empty(t, obstacle)
	require.Equal(t, 2, f.r.runs, "the request may have run on both all the same")
}

// TestAServerThatAnnouncedLeavingHasEndedOnceRemoved removes the entries of two servers, of which one had announced that it
// leaves.
func TestAServerThatAnnouncedLeavingHasEndedOnceRemoved(t *testing.T) {
	servers := twoCopies().Servers()
	announceLeaving(servers[0])
	for _, s := range servers[:2] {
		s.Remove()
	}
	require.True(t, servers[0].Ended())
	require.False(t, servers[1].Ended(), "one that leaves without notice keeps working")
}

// TestAStreamIsResumedWhenThereIsRoomAgain makes every server unusable for longer than callers are thought to wait.
func TestAStreamIsResumedWhenThereIsRoomAgain(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	h.ApplySettings(Settings{Domain: "a", Repeats: retry.Limit{Window: 10 * time.Second, Fixed: 10}})
	f := newBegunStream(g, 2, 0)
	unusableUntil := clock.Now().Add(4 * time.Second)
	for _, s := range g.Servers() {
		s.SetAside(unusableUntil)
	}
	done := make(chan bool, 1)
	go func() {
		_, _, ok := h.awaitResumePath(t.Context(), f)
		done <- ok
	}()
	require.Eventually(t, func() bool {
		clock.Advance(roomPoll)
		select {
		case ok := <-done:
			require.True(t, ok)
			return true
		default:
			return false
		}
	}, 30*time.Second, time.Millisecond)
	require.False(t, clock.Now().Before(unusableUntil), "there is no room before")
}

// TestAStreamThatLeftItsServersWaitsUntilOneOfThemTakesItAgain has both servers that a stream may run on answer that they are well, and take no
// work for longer than callers are thought to wait.
func TestAStreamThatLeftItsServersWaitsUntilOneOfThemTakesItAgain(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	full := clock.Now().Add(4 * time.Second)
	for _, s := range g.Servers() {
		s.SetAside(full)
	}
	found := make(chan chain.Path, 1)
	go func() {
		path, _, _ := h.awaitResumePath(t.Context(), newBegunStream(g, 1, 2))
		found <- path
	}()
	require.Eventually(t, func() bool {
		clock.Advance(roomPoll)
		return len(found) > 0
	}, testTimeout, time.Millisecond)
	require.False(t, clock.Now().Before(full))
	require.Equal(t, 2, (<-found).Hops[0].Server)
}

// TestAStreamWhoseAttemptsAreUsedUpIsResumedAtAServerThatRanIt guards against an answer that is given up although a server that ran it is well.
func TestAStreamWhoseAttemptsAreUsedUpIsResumedAtAServerThatRanIt(t *testing.T) {
	for ran := range 2 {
		g := twoCopies()
		h, _ := testHandler(t, newFakeEngineClient(g))
		first := 2 * ran
		for range 20 {
			path, _, ok := h.awaitResumePath(t.Context(), newBegunStream(g, 1, first))
			require.True(t, ok)
			require.Equal(t, first, path.Hops[0].Server, "no further server may run it")
		}
	}
}
