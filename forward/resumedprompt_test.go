package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/chain"
	"junctioncross/front"
)

// TestAResumedStreamIsCutIfItsServerForgotTheRequest lets the server that continues a stream accept the request and forget
// it.
func TestAResumedStreamIsCutIfItsServerForgotTheRequest(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	e.forgets = map[string]bool{"one": true}
	h, clock := testHandler(t, e)
	f, conn := connected(t, h, g, "one", 0, 1)
	f.r.x = &front.Exchange{}
	f.beginAttempt(h, chain.Path{}, 2)
	f.touch(h)
	clock.Advance(time.Second)
	h.watch.diagnose(t.Context(), f.first, g, []*inflight{f})
	require.True(t, isOpen(conn), "its server has said once that it does not know the stream")
	h.watch.diagnose(t.Context(), f.first, g, []*inflight{f})
	require.False(t, isOpen(conn), "its connection is closed, so that it is resumed at another server")
}

// TestAResumedStreamIsNotMovedWhileItsPromptIsRead lets another server of the path leave while the first server still reads
// the prompt of a resumed stream.
func TestAResumedStreamIsNotMovedWhileItsPromptIsRead(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	f, _ := connected(t, h, g, "one", 0, 1)
	f.r.x = &front.Exchange{}
	f.firstEventDue.Store(int64(time.Second))
	f.beginAttempt(h, chain.Path{}, 2)
	f.touch(h)
	sendLeaveNotice(g.Servers()[1], clock)
	clock.Advance(time.Second)
	require.Nil(t, h.serverToLeave(f))
	require.False(t, h.watch.stalled(f), "reading the prompt takes as long as predicted")
}
