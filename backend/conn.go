package backend

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// defaultIdleTime is how long a connection may be idle if the server did not say how long it keeps idle connections.
	defaultIdleTime = 4 * time.Second
	// idleMargin is subtracted from the idle time that the server allows, since the next request takes a while to arrive there.
	idleMargin = time.Second
	// readBufferSize is enough for the head of an answer.
	readBufferSize = 4 << 10
)

// ErrDial means that no connection was made, so that nothing was sent.
var ErrDial = errors.New("backend: no connection")

// Conn is a connection to a server that carries one request at a time.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	server *Server
	// used is true when the connection carried a request before.
	used bool
	// received is the number of bytes that have been read from the network.
	received atomic.Int64
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Received returns the number of bytes that have come on the connection.
func (c *Conn) Received() int64 { return c.received.Load() }

// idleConn is a connection that may be used for another request until the given time.
type idleConn struct {
	conn  *Conn
	until time.Time
}

// Via returns the name of the instance through which the connection goes; empty if it uses the own links all the way.
func (c *Conn) Via() string {
	if tunnel, ok := c.Conn.(interface{ Peer() string }); ok {
		return tunnel.Peer()
	}
	return ""
}

// Direct reports whether the connection uses the instance's own network links all the way.
func (c *Conn) Direct() bool {
	_, ok := c.Conn.(*net.TCPConn)
	return ok
}

// Used reports whether the connection carried a request before, so that the server may have closed it in the meantime.
func (c *Conn) Used() bool { return c.used }

// Connect returns a connection that is ready for a request: an idle one, or a new one if there is none or fresh is set; to
// says what a new one is for. It returns ErrDial if no connection can be made or ctx has ended.
func (s *Server) Connect(ctx context.Context, dialer Dialer, to Endpoint, now time.Time, fresh bool) (*Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(ErrDial, err.Error())
	}
	if !fresh {
		if c := s.takeIdle(now); c != nil {
			return c, nil
		}
	}
	to.Addr = s.addr
	c, err := dialer.Dial(ctx, to)
	if err != nil {
		return nil, DialFailed(err)
	}
	conn := &Conn{Conn: c, server: s}
	conn.Reader = bufio.NewReaderSize(conn, readBufferSize)
	return conn, nil
}

// CheckListening returns nil if something listens at the server's address. It opens a connection, which is kept for a later request.
func (s *Server) CheckListening(dialer Dialer, now time.Time) error {
	conn, err := s.Connect(context.Background(), dialer, Endpoint{}, now, true)
	if err != nil {
		return err
	}
	conn.Keep(now, 0)
	return nil
}

// Refused reports whether an error of Connect says that nothing listens at the server's address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// DialFailed returns an ErrDial with its cause.
func DialFailed(cause error) error { return dialError{cause: cause} }

// dialError is an ErrDial with its cause.
type dialError struct{ cause error }

// Error implements error.
func (e dialError) Error() string { return ErrDial.Error() + ": " + e.cause.Error() }

// Is implements the interface that errors.Is uses.
func (dialError) Is(target error) bool { return target == ErrDial }

// Unwrap returns the cause.
func (e dialError) Unwrap() error { return e.cause }

// takeIdle returns the most recently used idle connection that is still reusable, or nil. It closes those that are not.
func (s *Server) takeIdle(now time.Time) *Conn {
	for {
		s.mu.Lock()
		last := len(s.idle) - 1
		if last < 0 {
			s.mu.Unlock()
			return nil
		}
		i := s.idle[last]
		s.idle = s.idle[:last]
		s.mu.Unlock()
		if now.Before(i.until) && i.conn.reusable() {
			return i.conn
		}
		_ = i.conn.Close()
	}
}

// reusable reports whether the connection is open and has no unread bytes, which would belong to no request.
func (c *Conn) reusable() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// Keep returns the connection to the server's idle connections, or closes it if it cannot be reused. The time idle is how long
// the server said that it keeps idle connections; 0 means that it did not say.
func (c *Conn) Keep(now time.Time, idle time.Duration) {
	if idle == 0 {
		idle = defaultIdleTime
	}
	s := c.server
	if idle <= idleMargin || s.Leaving() || c.Reader.Buffered() > 0 || !c.Direct() {
		_ = c.Close()
		return
	}
	c.used = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = append(s.idle, &idleConn{conn: c, until: now.Add(idle - idleMargin)})
}

// CloseExpired closes the connections that have been idle for too long.
func (s *Server) CloseExpired(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.idle[:0]
	for _, i := range s.idle {
		if now.Before(i.until) {
			kept = append(kept, i)
			continue
		}
		_ = i.conn.Close()
	}
	clear(s.idle[len(kept):])
	s.idle = kept
}

// CloseIdle closes the connections that wait for another request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.idle {
		_ = i.conn.Close()
	}
	s.idle = nil
}
