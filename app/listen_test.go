package app

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"junctioncross/timer"
)

// testTimeout bounds waits that end at once on a healthy machine.
const testTimeout = 30 * time.Second

// failingListener fails the first calls of Accept for lack of a descriptor.
type failingListener struct {
	net.Listener
	failures int
}

// Accept implements net.Listener.
func (s *failingListener) Accept() (net.Conn, error) {
	if s.failures > 0 {
		s.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp4", Err: unix.EMFILE}
	}
	return s.Listener.Accept()
}

// TestServerAnswersAfterAcceptRunsOutOfDescriptors guards against an HTTP server that ends at the first failed Accept: its
// listener lacks a descriptor twice.
func TestServerAnswersAfterAcceptRunsOutOfDescriptors(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	clock := clockwork.NewFakeClock()
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ready") }, Logger: discardLogger{}}
	ended := make(chan error, 1)
	go func() {
		ended <- server.Serve(withAcceptRetry(&failingListener{Listener: listener, failures: 2}, timer.New(clock)))
	}()
	for range 2 {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(acceptRetryDelay)
	}
	status, body, err := fasthttp.GetTimeout(nil, "http://"+listener.Addr().String(), testTimeout)
	require.NoError(t, err)
	require.Equal(t, fasthttp.StatusOK, status)
	require.Equal(t, "ready", string(body))
	require.Empty(t, ended)
}
