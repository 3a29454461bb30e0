package entry

import (
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// lingerTime is how long a connection is read on that is closed while its caller still writes: a few round trips of a slow caller.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds what is read and thrown away meanwhile.
	lingerBytes = 16 << 20
)

// Lingering returns a listener whose connections may be closed after an answer that came before the request was read: without that the
// closing resets the connection, and the caller loses the answer that waits to be read.
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

// lingeringConn is a connection of which the rest of a request is read away before it is closed, if it is told so.
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

// drain says that no more is written and reads what still comes.
func (c *lingeringConn) drain() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() != nil {
		return
	}
	if c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// Whatever ends the reading, the connection is closed next.
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// linger lets the connection of a call be read on before it is closed.
func linger(ctx *fasthttp.RequestCtx) {
	conn := ctx.Conn()
	if secured, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secured.NetConn()
	}
	if c, ok := conn.(*lingeringConn); ok {
		c.lingers = true
	}
}
