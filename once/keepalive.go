package once

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// alivePeriod is when and how often an idle connection is asked whether its other end is there: a second is the least that the
	// kernel takes, so that one that falls silent while nothing is sent is found after two.
	alivePeriod = time.Second
	// aliveQuestions is how many of these may stay without an answer where the kernel knows no time for silence.
	aliveQuestions = 2
)

// AliveDialer returns a dialer of connections that end when neither what was sent nor a keep-alive has been acknowledged for a time, of which
// no reset may tell; dialTimeout bounds the opening of a connection.
func AliveDialer(dialTimeout, silent time.Duration) *net.Dialer {
	control := func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silent.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
	alive := net.KeepAliveConfig{Enable: true, Idle: alivePeriod, Interval: alivePeriod, Count: aliveQuestions}
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: alive, Control: control}
}
