package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/catalog"
	"junctioncross/supervise"
)

const (
	// bodyReadTime bounds the time for reading a body; it is long enough for the largest bodies over slow links.
	bodyReadTime = 10 * time.Second
	// idleMargin is added to the idle time, so that a request that is sent just before the idle time ends finds the connection open.
	idleMargin = time.Second
)

// conn is one caller's connection. Its reading goroutine waits for requests and, while one is answered, for the caller to
// disconnect; the answering goroutine runs the handler.
type conn struct {
	server *Server
	net    net.Conn
	// source is what reader reads from: net, after what earlier readers have read ahead.
	source io.Reader
	reader *bufio.Reader
	limits catalog.Limits
	// idle is true while no request is in progress. The goroutine that sets it from true to false decides what happens next: the
	// reading goroutine serves a request, or the server closes the connection.
	idle atomic.Bool
	// idleSince is when the connection became idle, in nanoseconds since the Unix epoch.
	idleSince atomic.Int64
	// answered tells the reading goroutine that the handler has finished; false means that the connection must be closed.
	answered chan bool
	// lingers is true once the last answer was sent and the connection only waits for its caller to close it.
	lingers bool
}

func newConn(s *Server, c net.Conn) *conn {
	limits := s.currentLimits()
	out := &conn{
		server: s, net: c, source: c, reader: bufio.NewReaderSize(c, limits.HeaderBytes), limits: limits, answered: make(chan bool, 1),
	}
	out.setIdle()
	return out
}

// setIdle records that no request is in progress from now on.
func (c *conn) setIdle() {
	c.idleSince.Store(c.server.clock.Now().UnixNano())
	c.idle.Store(true)
}

// markBusy ends the idle state and reports true, or false if the server has closed the connection to make room for another one.
func (c *conn) markBusy() bool { return c.idle.CompareAndSwap(true, false) }

// serve reads and answers requests until the connection ends.
func (c *conn) serve() {
	defer c.server.remove(c)
	defer c.net.Close()
	for c.awaitRequest() && c.markBusy() && c.serveRequest() {
	}
	if c.lingers {
		c.linger()
	}
}

// awaitRequest waits for the first byte of a request and reports whether it came before the idle time was over.
func (c *conn) awaitRequest() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	if err := c.net.SetReadDeadline(c.server.clock.DeadlineIn(c.limits.IdleTime + idleMargin)); err != nil {
		return false
	}
	_, err := c.reader.Peek(1)
	return err == nil
}

// serveRequest reads and answers one request and reports whether the connection can take another.
func (c *conn) serveRequest() bool {
	c.applyLimits()
	x := acquireExchange(c)
	if failure := c.readRequest(x); failure != nil {
		c.server.stats.Counter("requests_unreadable_total").Inc(1)
		x.refuseUnserved(failure)
		return false
	}
	if err := c.net.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	if c.callerDisconnected() {
		// The request may have waited in the receive buffer until its caller gave up.
		c.server.stats.Counter("callers_gone_unserved_total").Inc(1)
		releaseExchange(x)
		return false
	}
	if !c.server.begin() {
		x.refuseUnserved(&readFailure{status: fasthttp.StatusServiceUnavailable, reason: "this instance has stopped; ask another one"})
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer c.server.running.Add(-1)
		c.answered <- c.answer(ctx, x)
	}()
	// Waits until the caller sends more; until it disconnects, which cancels the request; or until the answer has been sent and the
	// connection has been idle, or has lingered, for too long.
	_, err := c.reader.Peek(1)
	if err != nil {
		cancel()
		// Also ends a write that is blocked because the caller does not read.
		_ = c.net.Close()
	}
	keep := <-c.answered
	if !x.panicked {
		releaseExchange(x)
	}
	return keep && err == nil
}

// answer runs the handler and reports whether the connection can take another request. A panic costs this request and the connection.
func (c *conn) answer(ctx context.Context, x *Exchange) (keep bool) {
	work := func() supervise.Work { return supervise.Work{Record: x.meta.ID} }
	if !c.server.guard.Call(partName, work, func() {
		c.server.handler.Handle(ctx, x)
		keep = x.finish()
	}) {
		// What the handler has started may still use the exchange.
		x.panicked = true
		c.server.guard.Call(partName, work, x.fail)
	}
	return keep
}

// readFailure says how to refuse a request that was not read or is not served; status 0 means that the connection is closed without an
// answer.
type readFailure struct {
	status int
	reason string
}

func (c *conn) readRequest(x *Exchange) *readFailure {
	if err := c.net.SetReadDeadline(c.server.clock.DeadlineIn(c.limits.HeaderTime)); err != nil {
		return &readFailure{}
	}
	if err := x.request.Header.Read(c.reader); err != nil {
		return headerFailure(err)
	}
	hasBody, err := checkHead(&x.request.Header)
	if err != nil {
		return headerFailure(err)
	}
	x.hasBody = hasBody
	// If the machine was suspended, what the instance knows is older than the clock says until the suspension is detected, and this
	// request may come before the periodic check.
	if _, err := c.server.clock.CheckSuspension(); err != nil {
		c.server.stats.Counter("clock_failures_total").Inc(1)
	}
	x.arrived = c.server.clock.Now()
	if x.request.MayContinue() {
		// The write deadline of the answer before may have passed.
		if err := c.net.SetWriteDeadline(c.server.clock.DeadlineIn(c.limits.HeaderTime)); err != nil {
			return &readFailure{}
		}
		if _, err := c.net.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return &readFailure{}
		}
	}
	if err := c.net.SetReadDeadline(c.server.clock.DeadlineIn(bodyReadTime)); err != nil {
		return &readFailure{}
	}
	if x.request.Header.ContentLength() != 0 {
		// The library would parse forms, and write them anew.
		const parseForms = false
		if err := x.request.ContinueReadBody(c.reader, c.limits.BodyBytes, parseForms); err != nil {
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

// connectionEnded reports whether the caller disconnected or was too slow to send, so that nobody waits for an answer.
func connectionEnded(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}
