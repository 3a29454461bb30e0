package forward

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// diagnoseTwice diagnoses streams with the same first server, and again after the time that the server has to come to their requests.
func diagnoseTwice(t *testing.T, h *Handler, clock *clockwork.FakeClock, g *backend.Group, streams ...*inflight) {
	h.watch.diagnose(t.Context(), streams[0].first, g, streams)
	clock.Advance(firstEventSlack)
	h.watch.diagnose(t.Context(), streams[0].first, g, streams)
}

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
	diagnoseTwice(t, h, clock, g, f)
	require.Error(t, ours.SetDeadline(time.Time{}), "the stream is still at the server that does not know it")
}

// TestAStreamIsNotTakenForForgottenBeforeItsServerComesToIt guards against cutting a stream whose server has just gone on after a silence.
func TestAStreamIsNotTakenForForgottenBeforeItsServerComesToIt(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	e.forgets = map[string]bool{"late": true}
	h, clock := testHandler(t, e)
	f, conn := connected(t, h, g, "late", 0, 1)
	f.progressed.Store(false)
	clock.Advance(time.Second)
	h.watch.diagnose(t.Context(), f.first, g, []*inflight{f})
	require.True(t, isOpen(conn))
	clock.Advance(firstEventSlack)
	e.forgets = nil
	h.watch.diagnose(t.Context(), f.first, g, []*inflight{f})
	require.True(t, isOpen(conn), "its server knows it now")
	e.forgets = map[string]bool{"late": true}
	h.watch.diagnose(t.Context(), f.first, g, []*inflight{f})
	require.True(t, isOpen(conn), "it is not asked again")
}
