package app

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"junctioncross/timer"
)

const (
	// callersShare is the part of a process's descriptors that callers' connections may take while some of them rest; each request
	// under way needs another one to its server, and the checks, the store and the other instances need some.
	callersShare = 0.5
	// unlimitedDescriptors stands for a limit that is not known or higher.
	unlimitedDescriptors = 1 << 20
	// acceptPause keeps a listener that is out of descriptors from spinning.
	acceptPause = 20 * time.Millisecond
)

// mostConnections returns the number of callers' connections beyond which those that rest make room for new ones.
func mostConnections() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		limit.Cur = unlimitedDescriptors
	}
	return int(callersShare * float64(min(limit.Cur, unlimitedDescriptors)))
}

// patientListener goes on accepting after errors that pass, such as a lack of descriptors: the HTTP library ends its server at the
// first one.
type patientListener struct {
	net.Listener
	clock *timer.Service
}

// tolerant returns a listener whose errors that pass end nothing.
func tolerant(l net.Listener, clock *timer.Service) net.Listener {
	return patientListener{Listener: l, clock: clock}
}

// Accept implements net.Listener.
func (l patientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		<-l.clock.After(acceptPause)
	}
}
