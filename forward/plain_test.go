package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/decision"
	"junctioncross/follow"
	"junctioncross/front"
	"junctioncross/httphead/headtest"
	"junctioncross/metrics"
	"junctioncross/platform"
	"junctioncross/platform/fake"
	"junctioncross/retry"
	"junctioncross/supervise"
	"junctioncross/timer"
)

// testTimeout limits waits for what happens at once on a healthy machine.
const testTimeout = 30 * time.Second

// testServer is a plain backend server that counts requests and closed connections. Its function answers; it gets the number
// of the request on its connection.
type testServer struct {
	server   *backend.Server
	listener net.Listener
	answer   func(c net.Conn, number int)

	mu sync.Mutex
	// requests counts the requests that arrived, closed the connections that were closed.
	requests, closed int
	// headers are those of each request.
	headers []http.Header
}

// newTestServer starts a server; without a function it does not answer.
func newTestServer(t *testing.T, id string, answer func(c net.Conn, number int)) *testServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ts := &testServer{answer: answer, listener: listener, server: backend.NewServer(backend.Entry{ID: id, Service: "s", Addr: listener.Addr().String(), Domain: "a", Slots: 4})}
	headtest.ListenOn(t, listener, ts.serve)
	return ts
}

func (ts *testServer) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for number := 1; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			ts.increment(&ts.closed)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		ts.noteRequest(r)
		if ts.answer != nil {
			ts.answer(c, number)
		}
	}
}

func (ts *testServer) noteRequest(r *http.Request) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.requests++
	ts.headers = append(ts.headers, r.Header)
}

// headersOf returns the headers of the requests so far.
func (ts *testServer) headersOf() []http.Header {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return slices.Clone(ts.headers)
}

// resumedAfter returns the events after which the requests so far asked their streams to go on, "" for new streams.
func (ts *testServer) resumedAfter() []string {
	var out []string
	for _, header := range ts.headersOf() {
		out = append(out, header.Get("Last-Event-Id"))
	}
	return out
}

func (ts *testServer) increment(counter *int) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	*counter++
}

func (ts *testServer) counts() (requests, closed int) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.requests, ts.closed
}

// sealed answers with a sealed success that keeps the connection open.
func sealed(c net.Conn, _ int) {
	_, _ = io.WriteString(c, fake.PlainAnswer("ok"))
}

// groupHandler is a front handler that sends each request to a group of servers.
type groupHandler struct {
	handler *Handler
	route   *catalog.Route
	group   *backend.Group
	// send is the handler's way for the group's service: plain or stream.
	send func(ctx context.Context, r *request)
}

// Handle implements front.Handler.
func (g groupHandler) Handle(ctx context.Context, x *front.Exchange) {
	r := &request{x: x, meta: x.Meta(), route: g.route, group: g.group, deadline: x.Arrived().Add(g.route.Timeout)}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	ctx, release := g.handler.withStop(ctx, x)
	defer release()
	g.handler.countRequest(r)
	g.send(ctx, r)
}

// plainFront serves requests of a route with the servers.
func plainFront(t *testing.T, route *catalog.Route, servers ...*testServer) *front.Server {
	return plainFrontOn(t, timer.NewReal(), route, servers)
}

// plainFrontAt is plainFront with a fake clock, which only the test advances.
func plainFrontAt(t *testing.T, route *catalog.Route, servers ...*testServer) (*front.Server, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(time.Now())
	return plainFrontOn(t, timer.New(clock), route, servers), clock
}

func plainFrontOn(t *testing.T, clock *timer.Service, route *catalog.Route, servers []*testServer) *front.Server {
	return frontOf(t, plainHandler(t, clock), route, servers)
}

// plainHandler returns a handler for requests of plain services.
func plainHandler(t testing.TB, clock *timer.Service) *Handler {
	return plainHandlerWith(t, clock, backend.DirectDialer{})
}

// plainHandlerWith is plainHandler with another dialer.
func plainHandlerWith(t testing.TB, clock *timer.Service, dialer backend.Dialer) *Handler {
	stats := metrics.New()
	log := logrus.New()
	log.SetOutput(io.Discard)
	return withFullRetryBudget(New(t.Context(), Settings{Domain: "a", Repeats: retry.Limit{Window: 10 * time.Second, Fixed: 100}, LongestBackOff: time.Hour},
		follow.NewFleetView(), platform.Codec{}, nil, dialer, clock, stats, decision.NewRecorder(log, clock, stats), oneInstance{}, testBook(), noPublisher{}, nil))
}

// frontOf serves requests of a route with the servers through a handler.
func frontOf(t *testing.T, h *Handler, route *catalog.Route, servers []*testServer) *front.Server {
	var backends []*backend.Server
	for _, ts := range servers {
		backends = append(backends, ts.server)
	}
	group := backend.NewGroup(&catalog.Service{Name: "s"}, backends)
	return frontWith(t, groupHandler{handler: h, route: route, group: group, send: h.plain})
}

// frontWith serves requests with a handler.
func frontWith(t testing.TB, handler front.Handler) *front.Server {
	s := front.New(platform.Codec{}, handler,
		func() catalog.Limits { return catalog.Limits{} }, func() int { return 100 }, idleInstance{}, timer.NewReal(), metrics.New(), newGuard())
	require.NoError(t, s.Listen("127.0.0.1:0"))
	t.Cleanup(s.Close)
	return s
}

// newGuard returns a Supervisor that logs nothing.
func newGuard() *supervise.Supervisor {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return supervise.New(timer.NewReal(), metrics.New(), log)
}

func callFront(t *testing.T, s *front.Server, id string) net.Conn { return callFrontWith(t, s, id, "") }

// callFrontWith is callFront with further header lines, each of which ends with a line break.
func callFrontWith(t *testing.T, s *front.Server, id, lines string) net.Conn {
	c, err := net.Dial("tcp4", s.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: "+id+"\r\n"+lines+"\r\n")
	require.NoError(t, err)
	return c
}

// readStatus returns the status of the next answer.
func readStatus(t *testing.T, c net.Conn) int {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// requestCount returns how many requests have reached some servers.
func requestCount(servers []*testServer) int {
	n := 0
	for _, ts := range servers {
		one, _ := ts.counts()
		n += one
	}
	return n
}

// closedCount returns how many connections to some servers were closed.
func closedCount(servers []*testServer) int {
	n := 0
	for _, ts := range servers {
		_, one := ts.counts()
		n += one
	}
	return n
}

// TestACallerDisconnectEndsTheRequestWithoutBlamingServers disconnects the caller of a request that may be retried while its
// server does not answer: no other server gets the request, and no server counts as failing.
func TestACallerDisconnectEndsTheRequestWithoutBlamingServers(t *testing.T) {
	servers := []*testServer{newTestServer(t, "1", nil), newTestServer(t, "2", nil), newTestServer(t, "3", nil)}
	route := &catalog.Route{Name: "r", RetryPolicy: catalog.RetryAlways, MaxAttempts: 3, Timeout: time.Hour, Objective: time.Hour}
	s := plainFront(t, route, servers...)
	c := callFront(t, s, "r1")
	require.Eventually(t, func() bool { return requestCount(servers) == 1 }, testTimeout, time.Millisecond)
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return s.Running() == 0 }, testTimeout, time.Millisecond)
	for _, ts := range servers {
		require.Zero(t, ts.server.FailRate(), ts.server.ID())
		require.True(t, ts.server.Usable(time.Now()), ts.server.ID())
	}
	require.Equal(t, 1, requestCount(servers))
	require.Eventually(t, func() bool { return closedCount(servers) == 1 }, testTimeout, time.Millisecond, "the connection to its server is closed")
}

// TestARetryOpensANewConnection lets all idle connections fail silently at the same time, as after a network fault without a
// reset: the first attempt notices it by its timeout, the second one must not use another failed connection.
func TestARetryOpensANewConnection(t *testing.T) {
	answerOnce := func(c net.Conn, number int) {
		if number == 1 {
			sealed(c, number)
		}
	}
	servers := []*testServer{newTestServer(t, "1", answerOnce), newTestServer(t, "2", answerOnce)}
	route := &catalog.Route{Name: "r", RetryPolicy: catalog.RetryAlways, MaxAttempts: 2, Timeout: 10 * time.Second, Objective: 100 * time.Millisecond}
	s := plainFront(t, route, servers...)
	// Both servers need an idle connection, which answers no second request.
	for _, ts := range servers {
		addIdleConn(t, ts)
	}
	require.Equal(t, http.StatusOK, readStatus(t, callFront(t, s, "r1")))
}

// TestAnAnswerIsAwaitedWhileNoOtherServerCanTakeTheRequest lets the only server answer later than the time for which a
// request that may be retried usually stays with a server.
func TestAnAnswerIsAwaitedWhileNoOtherServerCanTakeTheRequest(t *testing.T) {
	const objective = 10 * time.Millisecond
	goOn := make(chan struct{})
	ts := newTestServer(t, "1", func(c net.Conn, number int) {
		<-goOn
		sealed(c, number)
	})
	route := &catalog.Route{Name: "r", RetryPolicy: catalog.RetryAlways, MaxAttempts: 2, Timeout: time.Hour, Objective: objective}
	s, clock := plainFrontAt(t, route, ts)
	c := callFront(t, s, "r1")
	require.Eventually(t, func() bool { return requestCount([]*testServer{ts}) == 1 }, testTimeout, time.Millisecond)
	clock.Advance(time.Minute)
	// The request goes on, since no other server can take it.
	require.Never(t, func() bool { return s.Running() == 0 }, 50*time.Millisecond, 5*time.Millisecond)
	close(goOn)
	require.Equal(t, http.StatusOK, readStatus(t, c))
}

// addIdleConn adds an idle connection to a server, over which a request was answered.
func addIdleConn(t *testing.T, ts *testServer) {
	c, err := ts.server.Connect(t.Context(), backend.DirectDialer{}, backend.Endpoint{}, time.Now(), true)
	require.NoError(t, err)
	_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(c.Reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	c.Keep(time.Now(), time.Minute)
}
