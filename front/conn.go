package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"junctioncross/catalog"
)

const (
	// defaultHeaderBytes, unknownBody, unknownHeaderTime and unknownIdle hold before the first configuration.
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 1 << 20
	defaultHeaderTime  = 3 * time.Second
	defaultIdleTime    = 15 * time.Second
	// bodyReadTime bounds the reading of a body; it is generous for the largest bodies over slow links.
	bodyReadTime = 10 * time.Second
	// idleMargin is added to the idle time, so that a request sent just within it finds the connection open.
	idleMargin = time.Second
)

// conn is one caller's connection. Its reading goroutine waits for requests and, while one is answered, for the caller to
// leave; the answering goroutine runs the handler.
type conn struct {
	server *Server
	net    net.Conn
	reader *bufio.Reader
	limits catalog.Limits
	// idle is true while no request is under way, since a moment in nanoseconds; whoever sets it to false decides what follows.
	idle      atomic.Bool
	idleSince atomic.Int64
	// answered tells the reading goroutine that the answer is out; false means that the connection must end.
	answered chan bool
}

func newConn(s *Server, c net.Conn) *conn {
	limits := s.limits()
	if limits.HeaderBytes == 0 {
		limits = catalog.Limits{
			HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes, HeaderTime: defaultHeaderTime, IdleTime: defaultIdleTime,
		}
	}
	out := &conn{
		server: s, net: c, reader: bufio.NewReaderSize(c, limits.HeaderBytes), limits: limits, answered: make(chan bool, 1),
	}
	out.setIdle()
	return out
}

// setIdle says that no request is under way from now on.
func (c *conn) setIdle() {
	c.idleSince.Store(c.server.clock.Now().UnixNano())
	c.idle.Store(true)
}

// markBusy reports whether a request may be read; otherwise the connection was closed to make room.
func (c *conn) markBusy() bool { return c.idle.CompareAndSwap(true, false) }

// serve takes requests from the connection until it ends.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.net.Close()
	for c.awaitRequest() && c.markBusy() && c.serveRequest() {
	}
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	if err := c.net.SetReadDeadline(c.server.deadlineIn(c.limits.IdleTime + idleMargin)); err != nil {
		return false
	}
	_, err := c.reader.Peek(1)
	return err == nil
}

// serveRequest reads and answers one request and reports whether the connection can take another.
func (c *conn) serveRequest() bool {
	x := acquireExchange(c)
	if failure := c.readRequest(x); failure != nil {
		c.server.stats.Counter("requests_unreadable_total").Inc(1)
		x.refuseUnreadable(failure)
		return false
	}
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	if c.callerDisconnected() {
		// The request may have waited here for long; its caller has forgotten it.
		c.server.stats.Counter("callers_gone_unserved_total").Inc(1)
		releaseExchange(x)
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.server.running.Add(1)
	go func() {
		defer c.server.running.Add(-1)
		c.server.handler.Handle(ctx, x)
		c.answered <- x.finish()
	}()
	// This waits until the caller sends more or leaves, which ends the request, or until the answer is out and the
	// connection has rested too long.
	_, err := c.reader.Peek(1)
	if err != nil {
		cancel()
		// Also ends a write that waits for a caller who did not read.
		_ = c.net.Close()
	}
	keep := <-c.answered
	releaseExchange(x)
	return keep && err == nil
}

// callerDisconnected reports whether the caller has closed the connection and sent nothing more.
func (c *conn) callerDisconnected() bool {
	socket, ok := c.net.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	disconnected := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		disconnected = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
		return true
	})
	return err != nil || disconnected
}

// readFailure says why a request could not be read.
type readFailure struct {
	status int
	reason string
}

func (c *conn) readRequest(x *Exchange) *readFailure {
	if err := c.net.SetReadDeadline(c.server.deadlineIn(c.limits.HeaderTime)); err != nil {
		return &readFailure{}
	}
	if err := x.request.Header.Read(c.reader); err != nil {
		return headerFailure(err)
	}
	// What is known may be older than the clock told while the machine was suspended, and this may be the first that it does again.
	if _, err := c.server.clock.Look(); err != nil {
		c.server.stats.Counter("clock_failures_total").Inc(1)
	}
	x.arrived = c.server.clock.Now()
	if x.request.MayContinue() {
		if _, err := c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return &readFailure{}
		}
	}
	if err := c.net.SetReadDeadline(c.server.deadlineIn(bodyReadTime)); err != nil {
		return &readFailure{}
	}
	if x.request.Header.ContentLength() != 0 {
		if err := x.request.ContinueReadBody(c.reader, c.limits.BodyBytes); err != nil {
			return bodyFailure(err)
		}
	}
	meta, err := c.server.codec.ReadRequest(&x.request.Header)
	if err != nil {
		return &readFailure{status: fasthttp.StatusBadRequest, reason: err.Error()}
	}
	x.meta = meta
	return nil
}

func headerFailure(err error) *readFailure {
	var tooLarge *fasthttp.ErrSmallBuffer
	if errors.As(err, &tooLarge) {
		return &readFailure{status: fasthttp.StatusRequestHeaderFieldsTooLarge, reason: "head is too large"}
	}
	if connectionEnded(err) {
		return &readFailure{}
	}
	return &readFailure{status: fasthttp.StatusBadRequest, reason: "head is not readable"}
}

func bodyFailure(err error) *readFailure {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return &readFailure{status: fasthttp.StatusRequestEntityTooLarge, reason: "body is too large"}
	}
	if connectionEnded(err) {
		return &readFailure{}
	}
	return &readFailure{status: fasthttp.StatusBadRequest, reason: "body is not readable"}
}

// connectionEnded reports whether the caller left or was too slow, so that nobody waits for an answer.
func connectionEnded(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
