package tunnel

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// settleTime is enough for what a server has sent to pass the instance that carries it.
const settleTime = 100 * time.Millisecond

// TestWhatCameBeforeTheServerBrokeIsNotLost guards against whole answers that are thrown away with the connection that brought them.
func TestWhatCameBeforeTheServerBrokeIsNotLost(t *testing.T) {
	tt := newTunnelTest(t)
	near, far := tt.dial(t, tt.servers[0])
	sent := make([]byte, 32<<10)
	_, err := far.Write(sent)
	require.NoError(t, err)
	time.Sleep(settleTime)
	require.NoError(t, far.(*net.TCPConn).SetLinger(0))
	require.NoError(t, far.Close())
	time.Sleep(settleTime)
	got, err := io.ReadAll(near)
	require.Error(t, err)
	require.True(t, near.ServerFailed(err), err)
	require.Len(t, got, len(sent))
}

// deafServer is a connection to a server that takes no bytes.
type deafServer struct{ net.Conn }

// Write implements net.Conn.
func (deafServer) Write([]byte) (int, error) {
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.EPIPE}
}

// TestAServerThatReadsNoFurtherStillAnswers guards against answers that end with the rest of a request that nobody reads.
func TestAServerThatReadsNoFurtherStillAnswers(t *testing.T) {
	tt := newTunnelTest(t)
	tt.paths.mu.Lock()
	tt.paths.deaf = true
	tt.paths.mu.Unlock()
	near, far := tt.dial(t, tt.servers[0])
	_, err := near.Write([]byte("body"))
	require.NoError(t, err)
	time.Sleep(settleTime)
	_, err = far.Write([]byte("answer"))
	require.NoError(t, err)
	require.NoError(t, far.Close())
	got, err := io.ReadAll(near)
	require.NoError(t, err)
	require.Equal(t, "answer", string(got))
}

// TestAnInstanceIsNotIdleBeforeTheLastBytesHaveArrived guards against processes that end between an answer and its delivery.
func TestAnInstanceIsNotIdleBeforeTheLastBytesHaveArrived(t *testing.T) {
	tt := newTunnelTest(t)
	near, far := tt.dial(t, tt.servers[0])
	_, err := far.Write([]byte("answer"))
	require.NoError(t, err)
	require.NoError(t, far.Close())
	time.Sleep(settleTime)
	require.Equal(t, 1, tt.carrier.Requests())
	got, err := io.ReadAll(near)
	require.NoError(t, err)
	require.Equal(t, "answer", string(got))
	require.NoError(t, near.Close())
	require.Eventually(t, func() bool { return tt.carrier.Requests() == 0 }, eventuallyTimeout, time.Millisecond)
}
