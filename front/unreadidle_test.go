package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heldConn is a connection whose reads wait until they are released, as on a machine whose processor is taken.
type heldConn struct {
	*net.TCPConn
	release chan struct{}
}

// Read implements net.Conn.
func (c *heldConn) Read(p []byte) (int, error) {
	<-c.release
	return c.TCPConn.Read(p)
}

// TestAConnectionWithAnUnreadRequestIsNotClosedAsIdle guards a request that has arrived and is not read yet when descriptors run out.
func TestAConnectionWithAnUnreadRequestIsNotClosedAsIdle(t *testing.T) {
	clientConn, serverConn := pair(t)
	held := &heldConn{TCPConn: serverConn, release: make(chan struct{})}
	s := newServer(func(_ context.Context, x *Exchange) { x.Answer([]byte(statusLine), nil) })
	s.start(held)
	_, err := io.WriteString(clientConn, oneRequest)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return unread(serverConn) }, testTimeout, time.Millisecond)
	require.False(t, s.closeOldestIdle())
	close(held.release)
	require.NoError(t, clientConn.SetReadDeadline(time.Now().Add(testTimeout)))
	require.Equal(t, http.StatusOK, statusOf(t, bufio.NewReader(clientConn)))
	require.Eventually(t, s.closeOldestIdle, testTimeout, time.Millisecond, "it is idle again")
}

// TestAConnectionThatItsCallerHasClosedMakesRoom guards against connections that count as unread for the end of their bytes.
func TestAConnectionThatItsCallerHasClosedMakesRoom(t *testing.T) {
	clientConn, serverConn := pair(t)
	held := &heldConn{TCPConn: serverConn, release: make(chan struct{})}
	defer close(held.release)
	s := newServer(func(context.Context, *Exchange) { t.Error("handled") })
	s.start(held)
	require.NoError(t, clientConn.Close())
	require.Eventually(t, func() bool { return stateOf(t, serverConn) == closeWait }, testTimeout, time.Millisecond)
	require.True(t, s.closeOldestIdle())
}
