package front

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// callerDisconnected reports whether the caller has closed or reset the connection and no received data is left to read.
func (c *conn) callerDisconnected() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	n, err := peekSocket(c.net)
	return err == nil && n == 0 || errors.Is(err, unix.ECONNRESET) || errors.Is(err, net.ErrClosed)
}

// unread reports whether the connection has received bytes that were not read yet.
func unread(c net.Conn) bool {
	n, err := peekSocket(c)
	return err == nil && n > 0
}

// errNoSocket means that a connection has no socket of the system.
var errNoSocket = errors.New("front: connection without a socket")

// peekSocket returns the result of a read of one byte, which it leaves in place; it does not wait. The error is unix.EAGAIN if there is none.
func peekSocket(c net.Conn) (int, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	var readErr error
	// Not raw.Read, which waits for the reading goroutine.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, readErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, readErr
}
