package forward

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/timer"
)

// silencer lets plain servers be silent and then go on.
type silencer struct {
	mu    sync.Mutex
	quiet chan struct{}
}

// fallSilent makes the servers send nothing until the returned function is called.
func (s *silencer) fallSilent() (goOn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quiet = make(chan struct{})
	return sync.OnceFunc(func() { close(s.quiet) })
}

// answer answers a request once the servers are no longer silent.
func (s *silencer) answer(c net.Conn, number int) {
	s.mu.Lock()
	quiet := s.quiet
	s.mu.Unlock()
	if quiet != nil {
		<-quiet
	}
	sealed(c, number)
}

// repeatRoute is the route of requests that may be sent to several servers.
func repeatRoute(attempts int) *catalog.Route {
	return &catalog.Route{
		Name: "r", RetryPolicy: catalog.RetryAlways, MaxAttempts: attempts, Timeout: time.Hour, Objective: 100 * time.Millisecond,
	}
}

// statusLater receives the status of the next answer; 0 means that there is none.
func statusLater(c net.Conn) chan int {
	status := make(chan int, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	return status
}

// TestAPlainServerThatAnswersAgainGetsWork guards against a server that all requests avoid after a silence.
func TestAPlainServerThatAnswersAgainGetsWork(t *testing.T) {
	const tries = 60
	var voice silencer
	silent, other := newTestServer(t, "1", voice.answer), newTestServer(t, "2", sealed)
	s, clock := plainFrontAt(t, repeatRoute(2), silent, other)
	goOn := voice.fallSilent()
	reached := func() int { return requestCount([]*testServer{silent}) }
	var status chan int
	for n := 0; reached() == 0 && n < tries; n++ {
		status = statusLater(callFront(t, s, fmt.Sprint("before-", n)))
		require.Eventually(t, func() bool { return len(status) > 0 || reached() > 0 }, testTimeout, time.Millisecond)
	}
	require.Equal(t, 1, reached())
	require.Eventually(t, func() bool { clock.Advance(soundSilence / 4); return len(status) > 0 }, testTimeout, time.Millisecond)
	require.Equal(t, http.StatusOK, <-status, "by the other server")
	goOn()
	clock.Advance(soundSilence)
	for n := 0; reached() == 1 && n < tries; n++ {
		require.Equal(t, http.StatusOK, readStatus(t, callFront(t, s, fmt.Sprint("after-", n))))
	}
	require.Equal(t, 2, reached())
}

// TestNoRequestIsRefusedWhileAllPlainServersAreSilent guards against silent servers that are taken for servers that are not there.
func TestNoRequestIsRefusedWhileAllPlainServersAreSilent(t *testing.T) {
	const step, settleTime = 50 * time.Millisecond, 5 * time.Millisecond
	var voice silencer
	goOn := voice.fallSilent()
	s, clock := plainFrontAt(t, repeatRoute(2), newTestServer(t, "1", voice.answer), newTestServer(t, "2", voice.answer))
	var statuses []chan int
	for begin := clock.Now(); clock.Since(begin) < soundSilence; clock.Advance(step) {
		statuses = append(statuses, statusLater(callFront(t, s, fmt.Sprint(len(statuses)))))
		time.Sleep(settleTime)
	}
	goOn()
	for _, status := range statuses {
		require.Equal(t, http.StatusOK, <-status)
	}
}

// relayedConn is a connection through another instance.
type relayedConn struct{ net.Conn }

// Peer returns the name of that instance.
func (relayedConn) Peer() string { return "other" }

// relayDialer is the dialer of an instance that reaches servers through another instance only.
type relayDialer struct{ backend.DirectDialer }

func (relayDialer) Lost(string) bool                        { return true }
func (relayDialer) PathFailed(string, net.Conn, error) bool { return true }
func (d relayDialer) Dial(ctx context.Context, to backend.Endpoint) (net.Conn, error) {
	c, err := d.DirectDialer.Dial(ctx, to)
	return relayedConn{c}, err
}

// TestARequestStaysWithASilentServerThatIsReachedThroughAnotherInstance guards against a server's silence that is taken for that of the path.
func TestARequestStaysWithASilentServerThatIsReachedThroughAnotherInstance(t *testing.T) {
	var voice silencer
	goOn := voice.fallSilent()
	only, clock := newTestServer(t, "1", voice.answer), clockwork.NewFakeClockAt(time.Now())
	s := frontOf(t, plainHandlerWith(t, timer.New(clock), relayDialer{}), repeatRoute(2), []*testServer{only})
	status := statusLater(callFront(t, s, "r"))
	require.Eventually(t, func() bool { return requestCount([]*testServer{only}) == 1 }, testTimeout, time.Millisecond)
	for range 4 {
		clock.Advance(soundSilence / 4)
		time.Sleep(20 * time.Millisecond)
	}
	goOn()
	require.Equal(t, http.StatusOK, <-status)
	require.Equal(t, 1, requestCount([]*testServer{only}), "it has the request already")
}

// TestARequestThatLeavesASilentServerBehindAnotherInstanceDoesNotGoBackToIt guards against a server's silence that counts as a failure of
// the path.
func TestARequestThatLeavesASilentServerBehindAnotherInstanceDoesNotGoBackToIt(t *testing.T) {
	var voice silencer
	goOn := voice.fallSilent()
	defer goOn()
	silent, other := newTestServer(t, "1", voice.answer), newTestServer(t, "2", sealed)
	// It is in another domain, so that the silent server has the lowest cost.
	other.server = backend.NewServer(backend.Entry{ID: "2", Service: "s", Addr: other.server.Addr(), Domain: "b", Slots: 4})
	clock := clockwork.NewFakeClockAt(time.Now())
	s := frontOf(t, plainHandlerWith(t, timer.New(clock), relayDialer{}), repeatRoute(2), []*testServer{silent, other})
	status := statusLater(callFront(t, s, "r"))
	require.Eventually(t, func() bool { return requestCount([]*testServer{silent}) == 1 }, testTimeout, time.Millisecond)
	require.Eventually(t, func() bool {
		clock.Advance(soundSilence / 4)
		return len(status) > 0 || requestCount([]*testServer{silent}) > 1
	}, testTimeout, 10*time.Millisecond)
	require.Equal(t, 1, requestCount([]*testServer{silent}))
	require.Equal(t, http.StatusOK, <-status)
}
