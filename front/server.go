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
	"junctioncross/supervise"
	"junctioncross/timer"
)

// partName is the name of this part in lines on panics.
const partName = "callers"

// Handler answers requests.
type Handler interface {
	// Handle answers one request; it must not use the Exchange after it has returned. The context ends when the caller disconnects.
	Handle(ctx context.Context, x *Exchange)
}

// Load tells how much work the instance can take.
type Load interface {
	// TakeConnection reports whether a new connection is to be served; one that is not is closed unread.
	TakeConnection() bool
	// KeepConnection reports whether a connection may stay open after an answer.
	KeepConnection() bool
	// NoteSent counts a message that was sent over the link.
	NoteSent(bytes int)
}

// Server accepts callers' connections and passes their requests to a Handler.
type Server struct {
	codec          call.Codec
	handler        Handler
	limits         func() catalog.Limits
	maxConnections func() int
	load           Load
	clock          *timer.Service
	stats          *metrics.Registry
	guard          *supervise.Supervisor
	leaving        atomic.Bool
	// running is the number of requests in progress, or stopped.
	running atomic.Int64
	// lingering is the number of connections whose callers may still read their last answers.
	lingering atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
}

// New returns a Server that passes requests to handler; limits returns the limits on requests that are in force, maxConnections
// the number of connections beyond which a new one causes the oldest idle one to be closed, and load which ones are taken at all.
func New(
	codec call.Codec, handler Handler, limits func() catalog.Limits, maxConnections func() int, load Load, clock *timer.Service,
	stats *metrics.Registry, guard *supervise.Supervisor,
) *Server {
	return &Server{
		codec: codec, handler: handler, limits: limits, maxConnections: maxConnections, load: load, clock: clock, stats: stats,
		guard: guard, conns: map[*conn]struct{}{},
	}
}

// Listen starts to accept connections on an IPv4 address and port.
func (s *Server) Listen(addr string) error {
	// Connections that are shed need no keep-alive; the others get it when they are taken.
	config := net.ListenConfig{KeepAlive: -1}
	listener, err := config.Listen(context.Background(), "tcp4", addr)
	if err != nil {
		return errors.Wrapf(err, "front: listen on %s", addr)
	}
	s.listener = listener
	go func() {
		s.guard.Keep(context.Background(), partName, supervise.NoWork, func(context.Context) { s.accept(listener) })
	}()
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// acceptPause keeps the accept loop from spinning while file descriptors are exhausted and no idle connection can be closed.
const acceptPause = 20 * time.Millisecond

func (s *Server) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.stats.Counter("accept_errors_total").Inc(1)
			if !s.closeOldestIdle() {
				<-s.clock.After(acceptPause)
			}
			continue
		}
		s.stats.Counter("connections_total").Inc(1)
		if !s.load.TakeConnection() {
			_ = c.Close()
			continue
		}
		if !s.guard.Call(partName, supervise.NoWork, func() { s.start(c) }) {
			_ = c.Close()
		}
	}
}

func (s *Server) start(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true}); err != nil {
			s.stats.Counter("accept_errors_total").Inc(1)
		}
	}
	one := newConn(s, c)
	s.add(one)
	go func() { s.guard.Call(partName, supervise.NoWork, one.serve) }()
	if s.overfull() {
		s.closeOldestIdle()
	}
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

// overfull reports whether the server has more connections than its maximum.
func (s *Server) overfull() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > s.maxConnections()
}

// closeOldestIdle closes the connection that has been idle longest and reports whether it closed one. The caller of that
// connection opens another one when it needs it; a caller that cannot connect at all is worse off. One whose request has arrived is not
// idle.
func (s *Server) closeOldestIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *conn
	for c := range s.conns {
		if c.idle.Load() && (oldest == nil || c.idleSince.Load() < oldest.idleSince.Load()) && !unread(c.net) {
			oldest = c
		}
	}
	if oldest == nil || !oldest.idle.CompareAndSwap(true, false) {
		return false
	}
	s.stats.Counter("connections_made_room_total").Inc(1)
	delete(s.conns, oldest)
	_ = oldest.net.Close()
	return true
}

// Full reports whether the server has reached its maximum of connections and none of them is idle.
func (s *Server) Full() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < s.maxConnections() {
		return false
	}
	for c := range s.conns {
		if c.idle.Load() {
			return false
		}
	}
	return true
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Leave marks the server as about to stop: every further answer closes its connection and tells the caller to use another one.
func (s *Server) Leave() { s.leaving.Store(true) }

// Leaving reports whether the server is about to stop.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// stopped stands in place of the number of requests in progress once no further one may begin.
const stopped = -1

// Running returns the number of requests in progress.
func (s *Server) Running() int { return int(max(s.running.Load(), 0)) }

// StopIfIdle keeps further requests from beginning if none is in progress and no caller may still read its last answer, and reports
// whether it did.
func (s *Server) StopIfIdle() bool {
	// A connection begins to linger before its request is no longer in progress.
	return s.running.Load() == 0 && s.lingering.Load() == 0 && s.running.CompareAndSwap(0, stopped)
}

// begin counts a request as in progress, or reports false if none may begin any more.
func (s *Server) begin() bool {
	for {
		running := s.running.Load()
		if running == stopped {
			return false
		}
		if s.running.CompareAndSwap(running, running+1) {
			return true
		}
	}
}

// Close stops accepting and closes all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.net.Close()
	}
}
