package backend

import (
	"context"
	"net"
	"time"

	"junctioncross/once"
)

const (
	// dialTimeout is several round trips between failure domains; a server that takes longer is treated as unreachable.
	dialTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout is how long a connection may go without an acknowledgement of sent data or keep-alive probes before
	// it is closed; no reset arrives from a peer that is unreachable. It is less than the two seconds without an event after
	// which callers disconnect, so that there is time to resume the stream on another path. A slow server is not affected, since
	// its kernel still sends acknowledgements.
	unacknowledgedTimeout = 1500 * time.Millisecond
)

// Dialer opens connections to servers.
type Dialer interface {
	// Dial opens a connection to the server at addr; the error means that nothing was sent.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// DirectDialer opens connections over the instance's own network links; it implements Dialer.
type DirectDialer struct{}

// Dial implements Dialer.
func (DirectDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	return once.KeepAliveDialer(dialTimeout, unacknowledgedTimeout).DialContext(ctx, "tcp4", addr)
}
