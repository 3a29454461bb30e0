package headtest

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Listen listens on a free port until the test ends and serves each connection, which ends when serve returns.
func Listen(tb testing.TB, serve func(c net.Conn)) (addr string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(tb, err)
	return ListenOn(tb, listener, serve)
}

// ListenOn is Listen with a listener, which it closes.
func ListenOn(tb testing.TB, listener net.Listener, serve func(c net.Conn)) (addr string) {
	tb.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return listener.Addr().String()
}
