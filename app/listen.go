package app

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"junctioncross/timer"
)

const (
	// callerConnShare is the part of a process's descriptors that callers' connections may take while some of them rest; each request
	// under way needs another one to its server, and the checks, the store and the other instances need some.
	callerConnShare = 0.5
	// maxDescriptors stands for a limit that is not known or higher.
	maxDescriptors = 1 << 20
	// acceptRetryDelay keeps a listener that is out of descriptors from spinning.
	acceptRetryDelay = 20 * time.Millisecond
)

// maxConnections returns the number of callers' connections beyond which those that rest make room for new ones.
func maxConnections() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		limit.Cur = maxDescriptors
	}
	return int(callerConnShare * float64(min(limit.Cur, maxDescriptors)))
}

// retryListener goes on accepting after errors that pass, such as a lack of descriptors: the HTTP library ends its server at the
// first one.
type retryListener struct {
	net.Listener
	clock *timer.Service
}

// withAcceptRetry returns a listener whose errors that pass end nothing.
func withAcceptRetry(l net.Listener, clock *timer.Service) net.Listener {
	return retryListener{Listener: l, clock: clock}
}

// Accept implements net.Listener.
func (l retryListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		<-l.clock.After(acceptRetryDelay)
	}
}
