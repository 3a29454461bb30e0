package forward

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/front"
	"junctioncross/platform/fake"
	"junctioncross/timer"
)

// naming returns an answer that names a request.
func naming(answer, id string) string {
	return strings.Replace(answer, "\r\n", "\r\n"+fake.IDHeader(id), 1)
}

// keeping returns a server that answers the first request of a connection, with the id "1", and then does something else.
func keeping(t *testing.T, first string, then func(c net.Conn)) *testServer {
	return newTestServer(t, "1", func(c net.Conn, number int) {
		if number == 1 {
			_, _ = io.WriteString(c, naming(first, "1"))
			return
		}
		then(c)
	})
}

// nobodysFront serves requests of a route, at a plain service or an engine; the first server has the lowest cost.
func nobodysFront(t *testing.T, route *catalog.Route, engine bool, servers ...*testServer) *front.Server {
	if engine {
		g := chainGroup(servers...)
		h := chainHandler(t, g)
		return frontWith(t, groupHandler{handler: h, route: route, group: g, send: h.serve})
	}
	var backends []*backend.Server
	for i, ts := range servers {
		ts.server.Describe(backend.Entry{Service: "s", Domain: string(rune('a' + i)), Slots: 4})
		backends = append(backends, ts.server)
	}
	g := backend.NewGroup(&catalog.Service{Name: "s"}, backends)
	h := plainHandler(t, timer.NewReal())
	return frontWith(t, groupHandler{handler: h, route: route, group: g, send: h.serve})
}

// TestMoreBytesAfterAnAnswerGoToNobody guards against an answer that names no request, comes late on a kept connection, and goes to the next caller.
func TestMoreBytesAfterAnAnswerGoToNobody(t *testing.T) {
	stream, plain := plainStreamRoute(), plainStreamRoute()
	plain.Stream, plain.RetryPolicy = false, catalog.RetryAlways
	for name, c := range map[string]struct {
		route         catalog.Route
		engine        bool
		answer, other string
	}{
		"plain":             {plain, false, fake.PlainAnswer("ok"), fake.PlainAnswer("other")},
		"stream":            {stream, false, fake.StreamAnswer(onlyEvent), fake.StreamAnswer("id: 0\ndata: other\n\n")},
		"engine":            {stream, true, fake.StreamAnswer(onlyEvent), fake.StreamAnswer("id: 0\ndata: other\n\n")},
		"engine, no stream": {plain, true, fake.PlainAnswer("ok"), fake.PlainAnswer("other")},
	} {
		t.Run(name, func(t *testing.T) {
			first := keeping(t, c.answer, func(conn net.Conn) { _, _ = io.WriteString(conn, c.answer+naming(c.answer, "2")) })
			other := newTestServer(t, "2", writing(c.other))
			s := nobodysFront(t, &c.route, c.engine, first, other)
			status, _ := readBody(t, callFront(t, s, "1"))
			require.Equal(t, http.StatusOK, status)
			status, body := readBody(t, callFront(t, s, "2"))
			require.Equal(t, http.StatusOK, status)
			require.Contains(t, body, "other")
			require.Equal(t, 2, requestCount([]*testServer{first}))
		})
	}
}

// TestARefusalNeedNotNameItsRequest guards against refusals that count as runs on kept connections, where the users' pages show them without a name.
func TestARefusalNeedNotNameItsRequest(t *testing.T) {
	first := keeping(t, fake.PlainAnswer("ok"), func(c net.Conn) { _, _ = io.WriteString(c, fake.PlainRefusal("")) })
	route := plainStreamRoute()
	route.Stream, route.RetryPolicy, route.MaxAttempts = false, catalog.RetryAlways, 1
	s := nobodysFront(t, &route, false, first)
	require.Equal(t, http.StatusOK, readStatus(t, callFront(t, s, "1")))
	require.Equal(t, http.StatusServiceUnavailable, readStatus(t, callFront(t, s, "2")))
	require.Equal(t, 2, requestCount([]*testServer{first}))
}

// TestAServerThatNamesNoRequestsAnswersAll guards against answers that are lost since their server names no requests: each gets a connection of its
// own.
func TestAServerThatNamesNoRequestsAnswersAll(t *testing.T) {
	ts := newTestServer(t, "1", sealed)
	route := plainStreamRoute()
	route.Stream, route.RetryPolicy = false, catalog.RetryAlways
	s := nobodysFront(t, &route, false, ts)
	for range 5 {
		require.Equal(t, http.StatusOK, readStatus(t, callFront(t, s, "1")))
	}
	require.Eventually(t, func() bool { return closedCount([]*testServer{ts}) == 5 }, testTimeout, time.Millisecond)
}

// TestAConnectionWhoseAnswersNameTheirRequestsIsKept guards against a new connection for each request to sound servers.
func TestAConnectionWhoseAnswersNameTheirRequestsIsKept(t *testing.T) {
	reused := make(chan struct{}, 1)
	ts := keeping(t, fake.PlainAnswer("ok"), func(c net.Conn) {
		reused <- struct{}{}
		_, _ = io.WriteString(c, naming(fake.PlainAnswer("ok"), "2"))
	})
	route := plainStreamRoute()
	route.Stream, route.RetryPolicy = false, catalog.RetryAlways
	s := nobodysFront(t, &route, false, ts)
	require.Equal(t, http.StatusOK, readStatus(t, callFront(t, s, "1")))
	require.Equal(t, http.StatusOK, readStatus(t, callFront(t, s, "2")))
	require.Len(t, reused, 1)
}

// TestAConnectionThatWasOnlyOpenedCarriesAnAnswerWithoutAName guards against answers that are given to nobody since their connection was opened for a
// check whether the server listens.
func TestAConnectionThatWasOnlyOpenedCarriesAnAnswerWithoutAName(t *testing.T) {
	ts := newTestServer(t, "1", sealed)
	require.NoError(t, ts.server.CheckListening(backend.DirectDialer{}, time.Now()))
	route := plainStreamRoute()
	route.Stream, route.RetryPolicy = false, catalog.RetryAlways
	s := nobodysFront(t, &route, false, ts)
	require.Equal(t, http.StatusOK, readStatus(t, callFront(t, s, "1")))
	require.Zero(t, ts.server.FailRate())
}
