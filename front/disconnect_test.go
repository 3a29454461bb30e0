package front

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const oneRequest = "GET /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n"

// closeWait is the number of the TCP state CLOSE_WAIT (the peer has closed the connection) in Linux.
const closeWait = 8

// TestRequestOfDisconnectedCallerIsNotServed guards against running a request that nobody waits for: the caller sends it and
// disconnects before the server reads from the connection.
func TestRequestOfDisconnectedCallerIsNotServed(t *testing.T) {
	clientConn, serverConn := pair(t)
	_, err := io.WriteString(clientConn, oneRequest)
	require.NoError(t, err)
	require.NoError(t, clientConn.Close())
	require.Eventually(t, func() bool { return stateOf(t, serverConn) == closeWait }, testTimeout, time.Millisecond)
	s := newServer(func(context.Context, *Exchange) { t.Error("handled") })
	s.start(serverConn)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 0
	}, testTimeout, time.Millisecond)
}

func stateOf(t *testing.T, c *net.TCPConn) uint8 {
	raw, err := c.SyscallConn()
	require.NoError(t, err)
	var info *unix.TCPInfo
	require.NoError(t, raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}))
	require.NoError(t, err)
	return info.State
}

// TestBlockedWriteEndsWhenCallerDisconnects guards against a handler that stays in a blocked write. The caller reads nothing
// until the connection's buffers are full, and then closes only its sending side, so that no reset ends the write.
func TestBlockedWriteEndsWhenCallerDisconnects(t *testing.T) {
	clientConn, serverConn := pair(t)
	var writing sync.Once
	begun := make(chan struct{})
	s := newServer(func(_ context.Context, x *Exchange) {
		x.BeginStream([]byte("HTTP/1.1 200 OK\r\n"), []byte("a"))
		for !x.Failed() {
			writing.Do(func() { close(begun) })
			x.Stream(make([]byte, 64<<10))
		}
	})
	s.start(serverConn)
	_, err := io.WriteString(clientConn, oneRequest)
	require.NoError(t, err)
	<-begun
	require.NoError(t, clientConn.CloseWrite())
	require.Eventually(t, func() bool { return s.Running() == 0 }, testTimeout, time.Millisecond)
}

// TestACallerThatEndsItsSendingSideCountsAsGone guards against work for callers that have closed their connections, which looks the same:
// its request is cancelled at once.
func TestACallerThatEndsItsSendingSideCountsAsGone(t *testing.T) {
	clientConn, serverConn := pair(t)
	cancelled := make(chan struct{})
	s := newServer(func(ctx context.Context, _ *Exchange) {
		<-ctx.Done()
		close(cancelled)
	})
	s.start(serverConn)
	_, err := io.WriteString(clientConn, oneRequest)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.Running() == 1 }, testTimeout, time.Millisecond)
	require.NoError(t, clientConn.CloseWrite())
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the request was not cancelled")
	}
}
