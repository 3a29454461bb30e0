package tunnel

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"junctioncross/backend"
	"junctioncross/decision"
	"junctioncross/keys"
	"junctioncross/metrics"
	"junctioncross/supervise"
	"junctioncross/timer"
)

const (
	// partName is the name of this part in lines on panics.
	partName = "tunnels"
	// serverDialTimeout limits the connection to a server: the other instance waits for it.
	serverDialTimeout = 150 * time.Millisecond
	// askTimeout limits the time in which an open message must arrive.
	askTimeout = time.Second
	// maxCarried is how many tunnels an instance carries for others at once.
	maxCarried = 512
	// deliverTimeout is how long the other instance may take to close a tunnel whose server has ended its connection.
	deliverTimeout = time.Second
	// copyBuffer is the size in bytes of the buffer for each direction of a tunnel; it holds some events.
	copyBuffer = 4 << 10
)

// DirectPaths opens connections to servers over the instance's own network links.
type DirectPaths interface {
	// DialDirect opens a connection to the server at addr.
	DialDirect(ctx context.Context, addr string) (net.Conn, error)
	// Lost reports whether the server at addr is known not to be within reach over the own links.
	Lost(addr string) bool
	// ReachesOthersLike reports whether the own links reach other servers like one that they do not reach. If they do not, it is the
	// path that is missing, and nothing can be said of the server.
	ReachesOthersLike(server *backend.Server) bool
}

// Server carries the tunnels of other instances.
type Server struct {
	servers Servers
	paths   DirectPaths
	clock   *timer.Service
	stats   *metrics.Registry
	record  *decision.Recorder
	guard   *supervise.Supervisor

	stopping atomic.Bool
	// carried is the number of tunnels, and requests the number of those that are for a request.
	carried, requests atomic.Int64
}

// NewServer returns a Server.
func NewServer(servers Servers, paths DirectPaths, clock *timer.Service, stats *metrics.Registry, record *decision.Recorder) *Server {
	return &Server{
		servers: servers, paths: paths, clock: clock, stats: stats, record: record, guard: supervise.New(clock, stats, record.Log()),
	}
}

// Stop makes the Server accept no further tunnels; those that it carries go on.
func (s *Server) Stop() { s.stopping.Store(true) }

// Requests returns the number of tunnels that are for a request.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// ServeStream serves a stream of another instance; it is a link.StreamHandler.
func (s *Server) ServeStream(ctx context.Context, _ keys.Identity, stream *quic.Stream) {
	defer stream.CancelRead(closedByClient)
	_ = stream.SetReadDeadline(time.Now().Add(askTimeout))
	ask, err := readOpen(stream)
	if err != nil {
		stream.CancelWrite(serverBroke)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	s.addCarried(ask, 1)
	defer s.addCarried(ask, -1)
	conn, verdict := s.connect(ctx, ask)
	if conn != nil {
		defer conn.Close()
	}
	s.stats.Counter("tunnels_carried_total{verdict=\"" + verdict.String() + "\"}").Inc(1)
	s.log(ask, verdict)
	if err := writeReply(stream, reply{verdict: verdict, carried: uint16(s.carried.Load())}); err != nil || conn == nil {
		_ = stream.Close()
		return
	}
	s.pipe(stream, conn)
}

// connect opens the connection that a tunnel is asked for.
func (s *Server) connect(ctx context.Context, ask open) (net.Conn, Verdict) {
	server := s.servers.ServerOf(backend.Incarnation{ID: ask.Server, Born: ask.Born})
	if verdict := s.judge(ask, server); verdict != Opened {
		return nil, verdict
	}
	begun := s.clock.Now()
	ctx, cancel := s.clock.WithTimeout(ctx, s.clock.Patience(serverDialTimeout))
	defer cancel()
	conn, err := s.paths.DialDirect(ctx, server.Addr())
	switch {
	case err == nil:
		return conn, Opened
	case !s.paths.ReachesOthersLike(server):
		return nil, NoPath
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, NotListening
	case s.clock.DelayedSince(begun, serverDialTimeout):
		return nil, NoPath
	default:
		return nil, Unreachable
	}
}

// judge reports whether the instance may try to carry a tunnel to a server, by the verdict Opened.
func (s *Server) judge(ask open, server *backend.Server) Verdict {
	switch {
	case s.stopping.Load():
		return Stopping
	case s.carried.Load() > maxCarried:
		return Busy
	case server == nil:
		return UnknownServer
	case ask.NewWork && server.Leaving():
		return ServerLeaving
	case s.paths.Lost(server.Addr()):
		return NoPath
	default:
		return Opened
	}
}

func (s *Server) addCarried(ask open, n int64) {
	s.stats.Gauge("tunnels_carried").Update(s.carried.Add(n))
	if ask.NewWork {
		s.requests.Add(n)
	}
}

// log writes a line for a tunnel that is for a request.
func (s *Server) log(ask open, verdict Verdict) {
	if ask.Request == "" {
		return
	}
	fields := decision.Fields{"peer": ask.From, "server": ask.Server, "verdict": verdict.String()}
	if verdict == Opened {
		s.record.Routine(ask.Request, "tunnel carried", fields)
		return
	}
	s.record.Failure(ask.Request, "tunnel not carried", fields)
}

// pipe passes the bytes on in both directions until the server ends its connection or the other instance the tunnel.
func (s *Server) pipe(stream *quic.Stream, conn net.Conn) {
	left := make(chan struct{})
	go func() {
		defer close(left)
		// Whatever ends the stream, the server must learn that its caller has left.
		defer conn.Close()
		s.guard.Call(partName, supervise.NoWork, func() { send(conn, stream) })
	}()
	_, err := io.CopyBuffer(stream, readerOnly{conn}, make([]byte, copyBuffer))
	if err != nil {
		stream.SetReliableBoundary()
		stream.CancelWrite(serverBroke)
	} else {
		_ = stream.Close()
	}
	_ = conn.Close()
	// The other instance closes the tunnel once it has all: until then this one must not count as idle.
	select {
	case <-left:
	case <-s.clock.After(deliverTimeout):
	}
	stream.CancelRead(closedByClient)
	<-left
}

// send passes the bytes of a stream on to a server until the stream ends.
func send(conn net.Conn, stream io.Reader) {
	if _, err := io.CopyBuffer(writerOnly{conn}, stream, make([]byte, copyBuffer)); writeFailed(err) {
		// A server that reads no further may have more to send.
		_, _ = io.CopyBuffer(io.Discard, stream, make([]byte, copyBuffer))
	}
}

// writeFailed reports whether copying ended since the server takes no more bytes.
func writeFailed(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "write"
}

// writerOnly and readerOnly hide the methods by which io.CopyBuffer would take another buffer.
type (
	writerOnly struct{ io.Writer }
	readerOnly struct{ io.Reader }
)
