package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// TestAWaitingStreamGoesOnOnceItsFormerServerHasEnded lets the last server that a stream ran on leave without a word and still answer at first.
func TestAWaitingStreamGoesOnOnceItsFormerServerHasEnded(t *testing.T) {
	g := twoCopies()
	e := newEngines(g)
	h, clock := testHandler(t, e)
	f := begun(g, 2, 0, 2)
	leaver := g.Servers()[2]
	leaver.NoteLeaving(clock.Now())
	leaver.Remove()
	done := make(chan bool, 1)
	go func() {
		_, _, ok := h.awaitOnward(t.Context(), f)
		done <- ok
	}()
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.asked[leaver.Addr()] > 0
	}, soonEnough, time.Millisecond)
	e.mu.Lock()
	e.dead[leaver.Addr()] = true
	e.mu.Unlock()
	// The other copy is whole without the server that has left.
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

// TestAServerThatRanAStreamTwiceCountsOnce resumes a stream where it ran before, as after a reset of its connection.
func TestAServerThatRanAStreamTwiceCountsOnce(t *testing.T) {
	g := twoCopies()
	require.Equal(t, 1, begun(g, 2, 0, 0).r.standing())
	require.Equal(t, 2, begun(g, 2, 0, 2, 0).r.standing())
}

// TestAStreamThatGetsEventsIsNotCutWhenItsServerStopsListening lets a server take no more connections and finish what it has, as servers do
// that stop in an orderly way.
func TestAStreamThatGetsEventsIsNotCutWhenItsServerStopsListening(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newEngines(g, 0))
	still, stillConn := connected(t, h, g, "still", 0, 1)
	moving, movingConn := connected(t, h, g, "moving", 0, 1)
	clock.Advance(140 * time.Millisecond)
	moving.touch(h)
	h.watch.look(t.Context(), still.first, g, []*inflight{still})
	require.True(t, g.Servers()[0].Ended())
	require.False(t, isOpen(stillConn), "the one that stands still goes on elsewhere")
	require.True(t, isOpen(movingConn), "the one that moves stays")
}

// TestAStreamThatMayNotRunAgainStaysWithASilentFirstServer lets nothing listen at the first part of a stream that cannot be resumed:
// what comes yet is all that its caller can get.
func TestAStreamThatMayNotRunAgainStaysWithASilentFirstServer(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newEngines(g, 0))
	f, conn := connected(t, h, g, "one", 0, 1)
	route := *f.r.route
	route.Repeat = 0
	f.r.route = &route
	require.False(t, route.MayRepeat())
	clock.Advance(140 * time.Millisecond)
	h.watch.look(t.Context(), f.first, g, []*inflight{f})
	require.True(t, isOpen(conn))
}

// TestASilentFirstServerIsLeftEvenForAPathAcrossDomains leaves no other path than one between domains.
func TestASilentFirstServerIsLeftEvenForAPathAcrossDomains(t *testing.T) {
	g := twoCopies()
	servers := append([]*backend.Server(nil), g.Servers()[:2]...)
	servers = append(servers, backend.NewServer(backend.Entry{
		ID: "far", Service: "s", Addr: "127.0.0.1:9", Domain: "b", Kind: "k", Layers: servers[0].Layers(),
	}))
	g = backend.NewGroup(g.Service(), servers)
	h, clock := testHandler(t, newEngines(g))
	_, conn := connected(t, h, g, "one", 0, 1)
	clock.Advance(time.Second)
	servers[0].Suspect(clock.Now().Add(suspectTime))
	h.watch.giveUp(servers[0], g)
	require.False(t, isOpen(conn))
}
