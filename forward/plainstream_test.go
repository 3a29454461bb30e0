package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/front"
	"junctioncross/platform/fake"
	"junctioncross/timer"
)

// plainStreamRoute returns a route whose streams may be resumed, as a configuration may have it for a service without an engine.
func plainStreamRoute() *catalog.Route {
	return &catalog.Route{
		Name: "r", RetryPolicy: catalog.RetryResume, Stream: true, MaxAttempts: 2, Timeout: testTimeout, Objective: 10 * time.Second,
		PauseObjective: time.Second,
	}
}

// plainStreamFront serves streams of a route with the servers of a service without an engine. The first server has the lowest cost.
func plainStreamFront(t *testing.T, h *Handler, route *catalog.Route, servers ...*testServer) *front.Server {
	var backends []*backend.Server
	for i, ts := range servers {
		if i > 0 {
			ts.server.Describe(backend.Entry{Service: "s", Domain: "b", Slots: 4})
		}
		backends = append(backends, ts.server)
	}
	group := backend.NewGroup(&catalog.Service{Name: "s"}, backends)
	return frontWith(t, groupHandler{handler: h, route: route, group: group, send: h.serve})
}

// TestACallerGoesOnWithAStreamOfAServiceWithoutAnEngine guards against a stream that begins anew for a caller who has its first events.
func TestACallerGoesOnWithAStreamOfAServiceWithoutAnEngine(t *testing.T) {
	ts := newTestServer(t, "1", afterLastEvent)
	s := plainStreamFront(t, plainHandler(t, timer.NewReal()), plainStreamRoute(), ts)
	status, body := readBody(t, callFrontWith(t, s, "1", "Last-Event-Id: 4\r\n"))
	require.Equal(t, http.StatusOK, status)
	require.Empty(t, body)
	require.Equal(t, []string{"4"}, ts.resumedAfter())
}

// TestARequestThatIsNoStreamKeepsItsLastEventID guards against a header that is lost on routes where only the caller sets it.
func TestARequestThatIsNoStreamKeepsItsLastEventID(t *testing.T) {
	ts := newTestServer(t, "1", sealed)
	route := plainStreamRoute()
	route.Stream = false
	s := plainStreamFront(t, plainHandler(t, timer.NewReal()), route, ts)
	require.Equal(t, http.StatusOK, readStatus(t, callFrontWith(t, s, "1", "Last-Event-Id: 4\r\n")))
	require.Equal(t, []string{"4"}, ts.resumedAfter())
}

// framings are the ways in which servers mark the end of an answer with events: those of events that come in one piece.
var framings = map[string]func(events string) func(net.Conn, int){
	"chunks": func(events string) func(net.Conn, int) { return writing(fake.StreamAnswer(events)) },
	"length": func(events string) func(net.Conn, int) { return writing(fake.PlainAnswer(events)) },
	"none":   unframed,
}

// writing answers with some bytes.
func writing(answer string) func(net.Conn, int) {
	return func(c net.Conn, _ int) { _, _ = io.WriteString(c, answer) }
}

// threeEvents are those of the streams that tests of services without an engine send.
const threeEvents = "id: 0\ndata: x\n\nid: 1\ndata: y\n\nid: 2\ndata: z\n\n"

// TestAnUnsoundStreamOfAServiceWithoutAnEngineIsNotWhole guards against a stream that ends inside an event, or whose events are not those of one
// run in order, and that is passed on as complete.
func TestAnUnsoundStreamOfAServiceWithoutAnEngineIsNotWhole(t *testing.T) {
	for name, events := range map[string]string{
		"ends inside an event":      threeEvents[:len(threeEvents)-1],
		"an event twice":            onlyEvent + threeEvents,
		"two events in wrong order": "id: 0\ndata: x\n\nid: 2\ndata: z\n\nid: 1\ndata: y\n\n",
		"no event":                  "",
		"no events but text":        "ok",
	} {
		for framing, answer := range framings {
			if framing == "chunks" && events == "" {
				answer = func(string) func(net.Conn, int) { return writing(fake.EmptyChunksAnswer()) }
			}
			t.Run(name+", "+framing, func(t *testing.T) {
				first, other := newTestServer(t, "1", answer(events)), newTestServer(t, "2", framings[framing](threeEvents))
				s := plainStreamFront(t, plainHandler(t, timer.NewReal()), plainStreamRoute(), first, other)
				status, body := readBody(t, callFront(t, s, "1"))
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, threeEvents, body)
				require.Equal(t, 1, requestCount([]*testServer{other}))
			})
			t.Run(name+", "+framing+", once", func(t *testing.T) {
				first, other := newTestServer(t, "1", answer(events)), newTestServer(t, "2", framings[framing](threeEvents))
				route := plainStreamRoute()
				route.RetryPolicy = catalog.RetryNever
				s := plainStreamFront(t, plainHandler(t, timer.NewReal()), route, first, other)
				require.False(t, isWhole(t, callFront(t, s, "1")))
				require.Zero(t, requestCount([]*testServer{other}))
			})
		}
	}
}

// isWhole reports whether the next answer is a success that is complete.
func isWhole(t *testing.T, c net.Conn) bool {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	return err == nil && resp.StatusCode == http.StatusOK
}

// TestASoundStreamOfAServiceWithoutAnEngineReachesItsCaller guards against sound streams that are refused.
func TestASoundStreamOfAServiceWithoutAnEngineReachesItsCaller(t *testing.T) {
	for framing, answer := range framings {
		t.Run(framing, func(t *testing.T) {
			ts := newTestServer(t, "1", answer(threeEvents))
			s := plainStreamFront(t, plainHandler(t, timer.NewReal()), plainStreamRoute(), ts)
			status, body := readBody(t, callFront(t, s, "1"))
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, threeEvents, body)
			require.Zero(t, ts.server.FailRate())
		})
	}
}
