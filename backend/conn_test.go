package backend_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// TestNoConnectionIsGivenOutOnceTheContextHasEnded asks for a connection with a context that has ended, as of a caller that has
// disconnected, while there is an idle connection. A request must not be sent for such a caller.
func TestNoConnectionIsGivenOutOnceTheContextHasEnded(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s := backend.NewServer(backend.Entry{ID: "1", Addr: listener.Addr().String()})
	now := time.Now()
	c, err := s.Connect(t.Context(), backend.DirectDialer{}, backend.Endpoint{}, now, true)
	require.NoError(t, err)
	c.Keep(now, time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = s.Connect(ctx, backend.DirectDialer{}, backend.Endpoint{}, now, false)
	require.ErrorIs(t, err, backend.ErrDial)
	again, err := s.Connect(t.Context(), backend.DirectDialer{}, backend.Endpoint{}, now, false)
	require.NoError(t, err)
	require.True(t, again.Used(), "the idle connection is left for others")
}
