package backend

import (
	"context"
	"net"
	"time"

	"junctioncross/once"
	"junctioncross/timer"
)

const (
	// DialTimeout is several round trips between failure domains; a server that takes longer is treated as unreachable.
	DialTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout is how long a connection may go without an acknowledgement of sent data or keep-alive probes before
	// it is closed; no reset arrives from a peer that is unreachable. It is less than the two seconds without an event after
	// which callers disconnect, so that there is time to resume the stream on another path. A slow server is not affected, since
	// its kernel still sends acknowledgements.
	unacknowledgedTimeout = 1500 * time.Millisecond
)

// Endpoint is where a connection goes, and what for.
type Endpoint struct {
	// Addr is the server's IP address and port.
	Addr string
	// Request is the id of the request that the connection is for; empty for a call that belongs to none.
	Request string
	// NewWork is true if the connection is to bring the server a request.
	NewWork bool
}

// PathChange is a change of whether servers are within reach over the instance's own network links.
type PathChange interface{ pathChange() }

// PathLost means that a server is reached through another instance, and not over the own links.
type PathLost struct {
	// Addr is the address of the server.
	Addr string
	// Many is true if so many paths are lost that others probably are as well.
	Many bool
}

// PathsRegained means that a server whose path was lost is reached over the own links again.
type PathsRegained struct{}

func (PathLost) pathChange()      {}
func (PathsRegained) pathChange() {}

// Dialer opens connections to servers.
type Dialer interface {
	// Dial opens a connection to a server; the error means that nothing was sent.
	Dial(ctx context.Context, to Endpoint) (net.Conn, error)
	// Lost reports whether the server at addr is reached through another instance only.
	Lost(addr string) bool
	// PathFailed reports whether an error on a connection to the server at addr comes from the path to it and not from the server.
	PathFailed(addr string, conn net.Conn, err error) bool
	// ReachesOthersLike reports whether the own links reach other servers like one. If they do not, it is the path that is missing,
	// and the silence of the server says nothing about it.
	ReachesOthersLike(server *Server) bool
	// Observe sets what is called at each change.
	Observe(func(PathChange))
}

// DirectDialer opens connections over the instance's own network links; it implements Dialer.
type DirectDialer struct{ clock *timer.Service }

// NewDirectDialer returns a DirectDialer that waits longer while the process itself is late by the clock. The zero value does not.
func NewDirectDialer(clock *timer.Service) DirectDialer { return DirectDialer{clock: clock} }

// Dial implements Dialer.
func (d DirectDialer) Dial(ctx context.Context, to Endpoint) (net.Conn, error) {
	limit := DialTimeout
	if d.clock != nil {
		limit = d.clock.Patience(limit)
	}
	return once.KeepAliveDialer(limit, unacknowledgedTimeout).DialContext(ctx, "tcp4", to.Addr)
}

// Lost implements Dialer.
func (DirectDialer) Lost(string) bool { return false }

// PathFailed implements Dialer.
func (DirectDialer) PathFailed(string, net.Conn, error) bool { return false }

// ReachesOthersLike implements Dialer.
func (DirectDialer) ReachesOthersLike(*Server) bool { return true }

// Observe implements Dialer.
func (DirectDialer) Observe(func(PathChange)) {}
