package once

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAlivePeriod is when and how often an idle connection is asked whether its other end is there: a second is the least that the
	// kernel takes, so that one that falls silent while nothing is sent is found after two.
	keepAlivePeriod = time.Second
	// keepAliveProbes is how many of these may stay without an answer where the kernel knows no time for silence.
	keepAliveProbes = 2
)

// AliveDialer returns a dialer of connections that end when neither what was sent nor a keep-alive has been acknowledged for a time, of which
// no reset may tell; dialTimeout bounds the opening of a connection.
func AliveDialer(dialTimeout, userTimeout time.Duration) *net.Dialer {
	control := func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
	keepAlive := net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes}
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: control}
}
