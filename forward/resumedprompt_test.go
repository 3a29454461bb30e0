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
	e := newEngines(g)
	e.forgets = map[string]bool{"one": true}
	h, clock := testHandler(t, e)
	f, conn := connected(t, h, g, "one", 0, 1)
	f.r.x = &front.Exchange{}
	f.begin(h, chain.Path{}, 2)
	f.touch(h)
	clock.Advance(time.Second)
	h.watch.look(t.Context(), f.first, g, []*inflight{f})
	require.False(t, isOpen(conn), "its connection is closed, so that it is resumed at another server")
}

// TestAResumedStreamIsNotMovedWhileItsPromptIsRead lets another server of the path leave while the first server still reads
// the prompt of a resumed stream.
func TestAResumedStreamIsNotMovedWhileItsPromptIsRead(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newEngines(g))
	f, _ := connected(t, h, g, "one", 0, 1)
	f.r.x = &front.Exchange{}
	f.expected.Store(int64(time.Second))
	f.begin(h, chain.Path{}, 2)
	f.touch(h)
	goodbye(g.Servers()[1], clock)
	clock.Advance(time.Second)
	require.Nil(t, h.partToLeave(f))
	require.False(t, h.watch.still(f), "reading the prompt takes as long as predicted")
}
