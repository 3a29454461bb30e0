package headtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Server answers each request with the same bytes and then ends the connection.
type Server struct {
	addr     string
	answer   string
	requests atomic.Int64
}

// NewServer starts a Server, which ends with the test.
func NewServer(tb testing.TB, answer string) *Server {
	s := &Server{answer: answer}
	s.addr = Listen(tb, s.serve)
	return s
}

// NewServerOn is NewServer with a listener, which the server closes.
func NewServerOn(tb testing.TB, listener net.Listener, answer string) *Server {
	s := &Server{answer: answer}
	s.addr = ListenOn(tb, listener, s.serve)
	return s
}

func (s *Server) serve(c net.Conn) {
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
func (s *Server) Addr() string { return s.addr }

// Requests returns how many requests have come.
func (s *Server) Requests() int { return int(s.requests.Load()) }
