package backend_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"junctioncross/backend"
)

// callerTimeoutMillis is the shortest time without an event, in milliseconds, after which callers disconnect.
const callerTimeoutMillis = 2000

// TestDeadConnectionsAreDetected reads back the socket options of a connection: the kernel must send keep-alive probes while it
// is idle, and close it if the peer acknowledges nothing, before callers disconnect.
func TestDeadConnectionsAreDetected(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := backend.NewServer(backend.Entry{ID: "1", Addr: listener.Addr().String()})
	c, err := s.Connect(t.Context(), backend.DirectDialer{}, backend.Endpoint{}, time.Now(), true)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	option := func(level, name int) int {
		value := 0
		require.NoError(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }))
		require.NoError(t, err)
		return value
	}
	require.NotZero(t, option(unix.SOL_SOCKET, unix.SO_KEEPALIVE))
	idle, period := option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
	unacknowledged := option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	require.Less(t, unacknowledged, callerTimeoutMillis)
	require.LessOrEqual(t, idle+period, 2, "the least that the kernel accepts, in whole seconds")
}
