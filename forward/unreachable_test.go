package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// TestAWaitingStreamIsResumedOnceItsFormerServerHasEnded has a stream whose last server left without notice and still answers at
// first, so that the stream may not run on one more server. It must be resumed soon after that server stops answering.
func TestAWaitingStreamIsResumedOnceItsFormerServerHasEnded(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	h, clock := testHandler(t, e)
	f := newBegunStream(g, 2, 1, 3)
	formerServer := g.Servers()[3]
	formerServer.NoteLeaving(clock.Now())
	formerServer.Remove()
	done := make(chan bool, 1)
	go func() {
		_, _, ok := h.awaitResumePath(t.Context(), f)
		done <- ok
	}()
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.queries[formerServer.Addr()] > 0
	}, testTimeout, time.Millisecond)
	e.mu.Lock()
	e.dead[formerServer.Addr()] = true
	e.mu.Unlock()
	// The other copy of the model is complete without the server that has left.
	for range 2 * time.Second / roomPoll {
		clock.Advance(roomPoll)
		time.Sleep(time.Millisecond)
		select {
		case ok := <-done:
			require.True(t, ok)
			return
		default:
		}
	}
	require.Fail(t, "the stream still waits two seconds after the end of the server")
}

// TestAServerThatRanAStreamTwiceCountsOnce resumes a stream on a server that ran it before, as after a connection reset.
func TestAServerThatRanAStreamTwiceCountsOnce(t *testing.T) {
	g := twoCopies()
	require.Equal(t, 1, newBegunStream(g, 2, 0, 0).r.activeRuns())
	require.Equal(t, 2, newBegunStream(g, 2, 0, 2, 0).r.activeRuns())
}

// TestAStreamThatGetsEventsIsNotCutWhenItsServerStopsListening has a server that accepts no new connections but finishes what
// it has, as in an orderly shutdown.
func TestAStreamThatGetsEventsIsNotCutWhenItsServerStopsListening(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g, 0))
	stalled, stalledConn := connected(t, h, g, "still", 0, 1)
	progressing, progressingConn := connected(t, h, g, "moving", 0, 1)
	clock.Advance(140 * time.Millisecond)
	progressing.touch(h)
	h.watch.diagnose(t.Context(), stalled.first, g, []*inflight{stalled})
	require.True(t, g.Servers()[0].Ended())
	require.False(t, isOpen(stalledConn), "the stalled one is resumed elsewhere")
	require.True(t, isOpen(progressingConn), "the one that makes progress stays")
}

// TestAStreamThatMayNotRunAgainStaysWithASilentFirstServer has a stream that cannot be resumed and whose first server does not
// listen: the events that may still arrive are all that its caller can get.
func TestAStreamThatMayNotRunAgainStaysWithASilentFirstServer(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g, 0))
	f, conn := connected(t, h, g, "one", 0, 1)
	route := *f.r.route
	route.RetryPolicy = 0
	f.r.route = &route
	require.False(t, route.MayRetry())
	clock.Advance(140 * time.Millisecond)
	h.watch.diagnose(t.Context(), f.first, g, []*inflight{f})
	require.True(t, isOpen(conn))
}

// TestASilentFirstServerIsLeftEvenForAPathAcrossDomains leaves only a path that crosses domains as an alternative.
func TestASilentFirstServerIsLeftEvenForAPathAcrossDomains(t *testing.T) {
	g := twoCopies()
	servers := append([]*backend.Server(nil), g.Servers()[:2]...)
	servers = append(servers, backend.NewServer(backend.Entry{
		ID: "far", Service: "s", Addr: "127.0.0.1:9", Domain: "b", Kind: "k", Layers: servers[0].Layers(),
	}))
	g = backend.NewGroup(g.Service(), servers)
	h, clock := testHandler(t, newFakeEngineClient(g))
	_, conn := connected(t, h, g, "one", 0, 1)
	clock.Advance(time.Second)
	servers[0].Suspect(clock.Now().Add(suspectTime))
	h.watch.moveStalledStreams(servers[0], g)
	require.False(t, isOpen(conn))
}
