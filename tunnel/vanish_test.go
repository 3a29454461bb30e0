package tunnel

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// noticeTarget is in which time the end of an instance that carries an answer is known: callers wait for 2 s, and it is to go on until then.
const noticeTarget = 1800 * time.Millisecond

// TestACarrierThatVanishesIsNoticedWhileCallersWait guards against answers that are resumed only when their callers have left.
func TestACarrierThatVanishesIsNoticedWhileCallersWait(t *testing.T) {
	tt := newTunnelTest(t)
	near, far := tt.dial(t, tt.servers[0])
	_, err := far.Write([]byte("event"))
	require.NoError(t, err)
	_, err = io.ReadFull(near, make([]byte, len("event")))
	require.NoError(t, err)
	begun := time.Now()
	tt.network.Cut()
	_, err = io.ReadAll(near)
	require.False(t, near.ServerFailed(err), err)
	require.Less(t, time.Since(begun), noticeTarget)
	require.NoError(t, far.Close())
}

// TestACarrierThatEndsSaysSo guards against callers who wait for a process that is known to be gone.
func TestACarrierThatEndsSaysSo(t *testing.T) {
	tt := newTunnelTest(t)
	near, far := tt.dial(t, tt.servers[0])
	begun := time.Now()
	require.NoError(t, tt.listener.Close())
	_, err := io.ReadAll(near)
	require.False(t, near.ServerFailed(err), err)
	require.Less(t, time.Since(begun), noticeTarget/4)
	require.NoError(t, far.Close())
}
