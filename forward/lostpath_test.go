package forward

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/timer"
)

// cutOffDialer is the dialer of an instance whose own links reach no server.
type cutOffDialer struct{ backend.DirectDialer }

func (cutOffDialer) Lost(string) bool                        { return true }
func (cutOffDialer) PathFailed(string, net.Conn, error) bool { return true }
func (cutOffDialer) ReachesOthersLike(*backend.Server) bool  { return false }
func (cutOffDialer) Dial(context.Context, backend.Endpoint) (net.Conn, error) {
	return nil, errors.New("no path")
}

// losingDialer is the dialer of an instance whose paths are lost at some time.
type losingDialer struct {
	backend.DirectDialer
	lost atomic.Bool
}

func (d *losingDialer) Lost(string) bool { return d.lost.Load() }

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (near, far net.Conn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	near, err = net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	far, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

func TestOnlyStalledStreamsLeaveALostPath(t *testing.T) {
	g := twoCopies()
	dialer := &losingDialer{}
	h, clock := testHandlerWith(t, newFakeEngineClient(g), dialer)
	removeServices(t, h)
	stalled, _ := connected(t, h, g, "stalled", 0, 1)
	moves, _ := connected(t, h, g, "moves", 0, 1)
	ends := map[*inflight]net.Conn{}
	for _, f := range []*inflight{stalled, moves} {
		near, far := tcpPair(t)
		h.watch.mu.Lock()
		f.conn = &backend.Conn{Conn: near}
		h.watch.mu.Unlock()
		ends[f] = far
		f.progressed.Store(true)
		f.touch(h)
	}
	clock.Advance(stallLimit(stalled) + time.Millisecond)
	moves.touch(h)
	h.watch.scan(t.Context())
	open := func(f *inflight) bool {
		require.NoError(t, ends[f].SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		_, err := ends[f].Read(make([]byte, 1))
		var timeout net.Error
		return errors.As(err, &timeout) && timeout.Timeout()
	}
	require.True(t, open(stalled), "its path is not lost")
	dialer.lost.Store(true)
	h.watch.scan(t.Context())
	require.False(t, open(stalled))
	require.True(t, open(moves), "the path still carries it")
}

// TestServersAreUsedAgainOnceTheirPathIsKnownToBeLost guards against servers that stay out of use since a path did not answer.
func TestServersAreUsedAgainOnceTheirPathIsKnownToBeLost(t *testing.T) {
	g := twoCopies()
	h, _ := testHandler(t, newFakeEngineClient(g))
	server, now := g.Servers()[0], h.clock.Now()
	server.Suspect(now.Add(suspectTime))
	server.NoteSilent(backend.Connected, now)
	server.MarkEnded()
	server.Failed(now)
	require.False(t, server.Usable(now))
	forgive(server)
	require.True(t, server.Usable(now))
	require.False(t, server.Ended())
	server.MarkReplaced()
	forgive(server)
	require.True(t, server.Ended(), "another start of it is known")
}

// hangingDialer opens its first connection on a path that is lost from then on; the others work.
type hangingDialer struct {
	losingDialer
	hangs net.Conn
}

func (d *hangingDialer) Dial(ctx context.Context, to backend.Endpoint) (net.Conn, error) {
	if !d.lost.Swap(true) {
		return d.hangs, nil
	}
	return d.DirectDialer.Dial(ctx, to)
}

func (d *hangingDialer) PathFailed(_ string, conn net.Conn, _ error) bool { return conn == d.hangs }

// TestARepeatableRequestOnALostPathGoesToTheSameServerAgain guards against requests that wait until their deadline for the answer of an
// only server whose path is lost.
func TestARepeatableRequestOnALostPathGoesToTheSameServerAgain(t *testing.T) {
	near, _ := tcpPair(t)
	only := newTestServer(t, "1", sealed)
	h := plainHandlerWith(t, timer.NewReal(), &hangingDialer{hangs: near})
	route := &catalog.Route{Name: "r", RetryPolicy: catalog.RetryAlways, MaxAttempts: 2, Timeout: testTimeout, Objective: time.Millisecond}
	require.Equal(t, http.StatusOK, readStatus(t, callFront(t, frontOf(t, h, route, []*testServer{only}), "one")))
}
