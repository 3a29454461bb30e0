package forward

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// TestAStreamThatHasJustMovedIsNotTakenForForgotten guards a stream whose former first server is diagnosed: its new one does not know
// it before the request has arrived.
func TestAStreamThatHasJustMovedIsNotTakenForForgotten(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	e.forgets = map[string]bool{"moved": true}
	h, clock := testHandler(t, e)
	ours, theirs := net.Pipe()
	defer theirs.Close()
	f := newActiveStream(h, g, "moved", 0, 2, 3)
	f.conn = &backend.Conn{Conn: ours}
	f.progressed.Store(false)
	clock.Advance(2 * time.Second)
	h.watch.diagnose(t.Context(), g.Servers()[0], g, []*inflight{f})
	require.NoError(t, ours.SetDeadline(time.Time{}), "the connection to the new first server is open")
	// A server that has just been silent may answer before it has read the request, so that it is asked twice.
	h.watch.diagnose(t.Context(), g.Servers()[2], g, []*inflight{f})
	require.NoError(t, ours.SetDeadline(time.Time{}), "the server has said once that it does not know the stream")
	h.watch.diagnose(t.Context(), g.Servers()[2], g, []*inflight{f})
	require.Error(t, ours.SetDeadline(time.Time{}), "the stream is still at the server that does not know it")
}

// TestAServerThatWasSilentIsAskedAgainWhetherItKnowsAStream guards a stream whose server answers calls again just before it reads what was
// sent to it meanwhile.
func TestAServerThatWasSilentIsAskedAgainWhetherItKnowsAStream(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	e.forgets = map[string]bool{"waiting": true}
	h, clock := testHandler(t, e)
	f, conn := connected(t, h, g, "waiting", 0, 1)
	f.progressed.Store(false)
	clock.Advance(2 * time.Second)
	h.watch.diagnose(t.Context(), f.first, g, []*inflight{f})
	delete(e.forgets, "waiting")
	for range 3 {
		h.watch.diagnose(t.Context(), f.first, g, []*inflight{f})
	}
	require.True(t, isOpen(conn), "it has read the request")
}
