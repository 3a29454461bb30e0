package app

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"junctioncross/timer"
)

const (
	// callerConnShare is the part of the process's file descriptors that callers' connections may take as long as some of
	// them are idle and can be closed. Each request in flight needs another descriptor for the connection to its server;
	// health checks, the store and the other instances need some too.
	callerConnShare = 0.5
	// maxDescriptors replaces a limit on descriptors that is unknown or higher.
	maxDescriptors = 1 << 20
	// acceptRetryDelay keeps a listener that is out of descriptors from retrying in a busy loop.
	acceptRetryDelay = 20 * time.Millisecond
)

// maxConnections returns the number of callers' connections beyond which idle ones are closed to admit new ones.
func maxConnections() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		limit.Cur = maxDescriptors
	}
	return int(callerConnShare * float64(min(limit.Cur, maxDescriptors)))
}

// retryListener retries Accept after temporary errors, such as a lack of descriptors: the HTTP library ends its server at the
// first error.
type retryListener struct {
	net.Listener
	clock *timer.Service
}

// withAcceptRetry returns a listener that retries Accept after all errors but that of a closed listener.
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
