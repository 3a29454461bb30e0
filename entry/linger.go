package entry

import (
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// lingerTime is how long a connection is still read before it is closed while its caller may still write: a few round trips of a
	// slow caller.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds the number of bytes that are read and discarded in that time.
	lingerBytes = 16 << 20
)

// Lingering returns a listener whose connections can do a lingering close, for answers that are sent before the whole request was
// read: a plain close with unread data resets the connection, and the caller loses an answer that it has not yet read.
func Lingering(l net.Listener) net.Listener { return lingeringListener{l} }

type lingeringListener struct{ net.Listener }

// Accept implements net.Listener.
func (l lingeringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingeringConn{Conn: c}, nil
}

// lingeringConn is a connection that reads and discards the rest of a request before it is closed, if lingers is set.
type lingeringConn struct {
	net.Conn
	// lingers is set and read by the goroutine that serves the connection.
	lingers bool
}

// Close implements net.Conn.
func (c *lingeringConn) Close() error {
	if c.lingers {
		c.drain()
	}
	return c.Conn.Close()
}

// drain closes the sending side, reads what the caller still sends, and discards it.
func (c *lingeringConn) drain() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// The error does not matter, since the connection is closed next.
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// linger makes the connection of a call do a lingering close.
func linger(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn()
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secured.NetConn()
	}
	if c, ok := conn.(*lingeringConn); ok {
		c.lingers = true
	}
}
