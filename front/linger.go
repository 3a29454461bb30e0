package front

import (
	"io"
	"net"
	"time"
)

const (
	// lingerTime is how long a connection stays open after its last answer for its caller to read that answer and close.
	lingerTime = 2 * time.Second
	// lingerBytes bounds the number of bytes that are read and discarded in that time.
	lingerBytes = 16 << 20
)

// beginLinger ends the sending side after the last answer. The connection is closed only once its caller has closed it, or after
// lingerTime: a request that crosses the end would make a closed connection reset, which destroys what its caller has not yet received.
func (c *conn) beginLinger() {
	c.lingers = true
	c.server.lingering.Add(1)
	c.setIdle()
	_ = closeWrite(c.net)
	// The reading goroutine may already wait for the next request, without a deadline.
	_ = c.net.SetReadDeadline(c.server.clock.DeadlineIn(lingerTime))
}

// linger discards what the caller still sends, until it closes the connection or the deadline of beginLinger has passed.
func (c *conn) linger() {
	defer c.server.lingering.Add(-1)
	// The error does not matter, since the connection is closed next.
	_, _ = io.CopyN(io.Discard, c.reader, lingerBytes)
}

func closeWrite(c net.Conn) error {
	if t, ok := c.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return c.Close()
}
