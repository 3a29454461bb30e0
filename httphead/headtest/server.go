package headtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Server answers each request with the same bytes and then ends the connection.
type Server struct {
	listener net.Listener
	answer   string
	requests atomic.Int64
}

// NewServer starts a Server, which ends with the test.
func NewServer(tb testing.TB, answer string) *Server {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(tb, err)
	return NewServerOn(tb, listener, answer)
}

// NewServerOn is NewServer with a listener, which the server closes.
func NewServerOn(tb testing.TB, listener net.Listener, answer string) *Server {
	tb.Cleanup(func() { _ = listener.Close() })
	s := &Server{listener: listener, answer: answer}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { s.serve(c) }()
		}
	}()
	return s
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.requests.Add(1)
	_, _ = io.WriteString(c, s.answer)
}

// Addr returns the address of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Requests returns how many requests have come.
func (s *Server) Requests() int { return int(s.requests.Load()) }
