package once

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAlivePeriod is the time of idleness before the first keep-alive probe and the interval between probes. One second is
	// the shortest that the kernel accepts; the loss of the other end of an idle connection is thus detected after two
	// seconds.
	keepAlivePeriod = time.Second
	// keepAliveProbes is how many probes may remain unanswered, which counts only on kernels that do not apply TCP_USER_TIMEOUT.
	keepAliveProbes = 2
)

// KeepAliveDialer returns a dialer whose connections are closed when sent data or keep-alive probes remain unacknowledged for
// userTimeout (TCP_USER_TIMEOUT). This detects that the other end has vanished without a reset. dialTimeout bounds the opening
// of a connection.
func KeepAliveDialer(dialTimeout, userTimeout time.Duration) *net.Dialer {
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
