package tunnel

import (
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// closedByClient is the code with which the instance that asked for a tunnel ends it, and serverBroke the one for a connection to
// the server that broke.
const (
	closedByClient quic.StreamErrorCode = 0
	serverBroke    quic.StreamErrorCode = 1
)

// Conn is a connection to a server through another instance.
type Conn struct {
	*quic.Stream
	// peer is the name of the other instance.
	peer string
	// end is called once, when the connection is closed.
	end  func()
	once sync.Once
}

// Peer returns the name of the instance that carries the tunnel.
func (c *Conn) Peer() string { return c.peer }

// ServerFailed reports whether an error on the connection comes from the server: it closed its connection or that broke at the other
// instance.
func (c *Conn) ServerFailed(err error) bool {
	var ended *quic.StreamError
	if errors.As(err, &ended) {
		return ended.Remote && ended.ErrorCode == serverBroke
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// Close implements net.Conn; the other instance closes its connection to the server at once.
func (c *Conn) Close() error {
	c.once.Do(func() {
		c.CancelRead(closedByClient)
		c.CancelWrite(closedByClient)
		c.end()
	})
	return nil
}

// tunnelAddr is an address at the end of a tunnel.
type tunnelAddr string

// Network implements net.Addr.
func (tunnelAddr) Network() string { return "tunnel" }

// String implements net.Addr.
func (a tunnelAddr) String() string { return string(a) }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return tunnelAddr("") }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return tunnelAddr(c.peer) }
