package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/front"
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
