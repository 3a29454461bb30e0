package front

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/metrics"
	"junctioncross/timer"
)

// Handler answers requests.
type Handler interface {
	// Handle answers one request; it must not keep the Exchange. The context ends when the caller leaves.
	Handle(ctx context.Context, x *Exchange)
}

// Server accepts callers' connections.
type Server struct {
	codec   call.Codec
	handler Handler
	limits  func() catalog.Limits
	clock   *timer.Service
	stats   *metrics.Registry
	leaving atomic.Bool
	running atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
}

// New returns a Server that hands requests to handler; limits tells the bounds on callers that are in force.
func New(codec call.Codec, handler Handler, limits func() catalog.Limits, clock *timer.Service, stats *metrics.Registry) *Server {
	return &Server{
		codec: codec, handler: handler, limits: limits, clock: clock, stats: stats, conns: map[*conn]struct{}{},
	}
}

// Listen starts to accept connections on an IP number and port.
func (s *Server) Listen(addr string) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return errors.Wrapf(err, "front: listen on %s", addr)
	}
	s.listener = listener
	go func() { s.accept(listener) }()
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// acceptPause keeps a server that is out of descriptors from spinning.
const acceptPause = 20 * time.Millisecond

func (s *Server) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.stats.Counter("accept_errors_total").Inc(1)
			<-s.clock.After(acceptPause)
			continue
		}
		s.stats.Counter("connections_total").Inc(1)
		s.start(c)
	}
}

func (s *Server) start(c net.Conn) {
	one := newConn(s, c)
	s.mu.Lock()
	s.conns[one] = struct{}{}
	s.mu.Unlock()
	go func() { one.read() }()
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Leave makes every further answer tell its caller to use another connection.
func (s *Server) Leave() { s.leaving.Store(true) }

// Leaving reports whether the server is about to stop.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// Running returns the number of requests under way.
func (s *Server) Running() int { return int(s.running.Load()) }

// Close stops accepting and closes all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.net.Close()
	}
}
