package forward

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/models"
	"junctioncross/platform/fake"
)

// TestAWholeStreamIsNotBrokenOffBecauseItsServerFallsSilent guards against a silent server that is taken for one that has ended.
func TestAWholeStreamIsNotBrokenOffBecauseItsServerFallsSilent(t *testing.T) {
	for name, arrange := range map[string]func(*backend.Server){
		"stays":  func(*backend.Server) {},
		"leaves": announceLeaving,
	} {
		t.Run(name, func(t *testing.T) {
			first, other := newTestServer(t, "1", unframed(onlyEvent)), newTestServer(t, "2", afterLastEvent)
			g := chainGroup(first, other)
			h := chainHandler(t, g)
			e := newFakeEngineClient(g)
			e.setSilent(g.Servers()[0], true)
			h.engines = e
			time.AfterFunc(soundSilence, func() { e.setSilent(g.Servers()[0], false) })
			c := callFront(t, streamFront(t, h, g), "1")
			require.Eventually(t, func() bool { return requestCount([]*testServer{first}) == 1 }, testTimeout, time.Millisecond)
			arrange(g.Servers()[0])
			status, body := readBody(t, c)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, onlyEvent, body)
			require.Zero(t, requestCount([]*testServer{other}), "there is nothing left to send")
		})
	}
}

// TestAStreamWhoseServerEndsBetweenTwoEventsIsResumed guards against a part of an answer that is taken for the whole one.
func TestAStreamWhoseServerEndsBetweenTwoEventsIsResumed(t *testing.T) {
	const twoEvents = onlyEvent + "id: 1\ndata: y\n\n"
	for name, arrange := range map[string]func(*fakeEngineClient, *backend.Server){
		"leaving": func(e *fakeEngineClient, s *backend.Server) {
			announceLeaving(s)
			e.setDead(s)
		},
		"silent before that is known": func(e *fakeEngineClient, s *backend.Server) {
			e.setSilent(s, true)
			time.AfterFunc(soundSilence, func() {
				e.setDead(s)
				e.setSilent(s, false)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			var g *backend.Group
			var e *fakeEngineClient
			first := newTestServer(t, "1", func(c net.Conn, n int) {
				arrange(e, g.Servers()[0])
				unframed(onlyEvent)(c, n)
			})
			other := newTestServer(t, "2", unframed(twoEvents[len(onlyEvent):]))
			g = chainGroup(first, other)
			h := chainHandler(t, g)
			e = newFakeEngineClient(g)
			h.engines = e
			status, body := readBody(t, callFront(t, streamFront(t, h, g), "1"))
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, twoEvents, body)
		})
	}
}

// TestAnEmptyAnswerWithoutAMarkedEndCompletesAStreamThatHasAllItsEvents guards against resuming a stream again and again that has
// nothing left to get.
func TestAnEmptyAnswerWithoutAMarkedEndCompletesAStreamThatHasAllItsEvents(t *testing.T) {
	first := newTestServer(t, "1", func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, fake.UnframedStreamAnswer(onlyEvent))
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	other := newTestServer(t, "2", unframed(""))
	g := chainGroup(first, other)
	h := chainHandler(t, g)
	status, body := readBody(t, callFront(t, streamFront(t, h, g), "1"))
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, onlyEvent, body)
	require.Equal(t, 1, requestCount([]*testServer{other}))
}

// TestAWholeStreamOfAServerThatLostItsEntryIsNotBrokenOff guards against an entry that is gone being taken for the server's end.
func TestAWholeStreamOfAServerThatLostItsEntryIsNotBrokenOff(t *testing.T) {
	var g *backend.Group
	first := newTestServer(t, "1", func(c net.Conn, n int) {
		g.Servers()[0].MarkGone()
		unframed(onlyEvent)(c, n)
	})
	other := newTestServer(t, "2", afterLastEvent)
	g = chainGroup(first, other)
	h := chainHandler(t, g)
	status, body := readBody(t, callFront(t, streamFront(t, h, g), "1"))
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, onlyEvent, body)
	require.Zero(t, requestCount([]*testServer{other}))
	require.Zero(t, h.ends.Size())
}

// TestAStreamWhoseServerHasStartedAgainIsResumed guards against a part of an answer that is taken for the whole one, where reports do not tell
// when their server started.
func TestAStreamWhoseServerHasStartedAgainIsResumed(t *testing.T) {
	const twoEvents = onlyEvent + "id: 1\ndata: y\n\n"
	first, other := newTestServer(t, "1", unframed(onlyEvent)), newTestServer(t, "2", unframed(twoEvents[len(onlyEvent):]))
	g := chainGroup(first, other)
	h := chainHandler(t, g)
	e := newFakeEngineClient(g)
	e.holds[g.Servers()[0].Addr()] = models.Layers{}
	h.engines = e
	status, body := readBody(t, callFront(t, streamFront(t, h, g), "1"))
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, twoEvents, body)
}

// TestAStreamIsNotHandedOverWhileItsEndIsJudged guards against retries that are spent on a stream that has ended already.
func TestAStreamIsNotHandedOverWhileItsEndIsJudged(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	h, clock := testHandler(t, e)
	f, _ := connected(t, h, g, "one", 0, 1)
	e.setSilent(f.first, true)
	judged := make(chan bool, 1)
	go func() { judged <- h.brokeBetweenEvents(t.Context(), f) }()
	require.Eventually(t, func() bool { return h.watch.count() == 0 }, testTimeout, time.Millisecond)
	require.False(t, h.watch.handOver(f, f.first, g, "first part is silent"))
	e.setSilent(f.first, false)
	eventuallyAdvancing(t, clock, func() bool { return len(judged) > 0 })
	require.False(t, <-judged)
}
