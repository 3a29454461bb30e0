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

// closeWait is the state of a TCP connection whose other end has closed it, as Linux numbers it.
const closeWait = 8

// TestARequestWhoseCallerHasLeftIsNotServed lets a caller send a request and leave before the server looks at the connection.
func TestARequestWhoseCallerHasLeftIsNotServed(t *testing.T) {
	theirs, ours := pair(t)
	_, err := io.WriteString(theirs, oneRequest)
	require.NoError(t, err)
	require.NoError(t, theirs.Close())
	require.Eventually(t, func() bool { return stateOf(t, ours) == closeWait }, soonEnough, time.Millisecond)
	s := newServer(func(context.Context, *Exchange) { t.Error("handled") })
	s.start(ours)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 0
	}, soonEnough, time.Millisecond)
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

// TestAWriteEndsWhenACallerLeavesWhoDidNotRead fills the connection of a caller that reads nothing, and lets it leave for writing only,
// so that no reset comes.
func TestAWriteEndsWhenACallerLeavesWhoDidNotRead(t *testing.T) {
	theirs, ours := pair(t)
	var writing sync.Once
	begun := make(chan struct{})
	s := newServer(func(_ context.Context, x *Exchange) {
		x.BeginStream([]byte("HTTP/1.1 200 OK\r\n"), []byte("a"))
		for !x.Failed() {
			writing.Do(func() { close(begun) })
			x.Stream(make([]byte, 64<<10))
		}
	})
	s.start(ours)
	_, err := io.WriteString(theirs, oneRequest)
	require.NoError(t, err)
	<-begun
	require.NoError(t, theirs.CloseWrite())
	require.Eventually(t, func() bool { return s.Running() == 0 }, soonEnough, time.Millisecond)
}
