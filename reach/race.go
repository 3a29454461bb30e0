package reach

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/supervise"
	"junctioncross/tunnel"
)

const (
	// hedgeDelay is how long a connection over the own links may take before another instance is asked as well: many round trips
	// between failure domains, and short enough for a state query to be answered through the other instance.
	hedgeDelay = 40 * time.Millisecond
	// lostDelay is how long a connection over the own links may take that begins when a tunnel is up, before the path counts as lost.
	lostDelay = 100 * time.Millisecond
)

// errUnconfirmed means that the own links refused a connection and that no other instance could say whether the server has ended:
// a path that is cut may refuse connections as well.
var errUnconfirmed = errors.New("reach: refused, and no other instance reaches the server")

// attempt is the outcome of one attempt to connect.
type attempt struct {
	conn net.Conn
	err  error
}

// close closes a connection that is not needed.
func (a attempt) close() {
	if a.err == nil {
		_ = a.conn.Close()
	}
}

// race is a connection that is tried over the own links and, when these fail or take long, through another instance. The first
// connection that comes up wins.
type race struct {
	dialer *Dialer
	to     backend.Endpoint
	// direct and tunneled receive the outcome of each attempt; they are nil before it has begun and after it has ended.
	direct, tunneled chan attempt
	// directErr and tunnelErr are the errors of the attempts that have failed.
	directErr, tunnelErr error
	// late is when a tunnel is to be tried.
	late <-chan time.Time
	// keepDirect lets the attempt over the own links outlast the context of the race, endDirect ends it.
	keepDirect func() bool
	endDirect  context.CancelFunc
}

// startRace begins with the own links, and with a tunnel at once if the route says so.
func (d *Dialer) startRace(ctx context.Context, to backend.Endpoint, route Route) *race {
	r := &race{dialer: d, to: to, direct: make(chan attempt, 1)}
	directCtx, endDirect := context.WithCancel(context.WithoutCancel(ctx))
	r.endDirect, r.keepDirect = endDirect, context.AfterFunc(ctx, endDirect)
	go func(direct chan<- attempt) {
		direct <- d.try(func() (net.Conn, error) { return d.DialDirect(directCtx, to.Addr) })
	}(r.direct)
	if route == Both {
		r.startTunnel(ctx)
	} else {
		r.late = d.clock.After(d.clock.Patience(hedgeDelay))
	}
	return r
}

// startTunnel tries a tunnel unless that was begun before.
func (r *race) startTunnel(ctx context.Context) {
	r.late = nil
	if r.tunneled != nil || r.tunnelErr != nil {
		return
	}
	r.tunneled = make(chan attempt, 1)
	go func(tunneled chan<- attempt) {
		tunneled <- r.dialer.try(func() (net.Conn, error) { return r.dialer.dialTunnel(ctx, r.to) })
	}(r.tunneled)
}

// errPanicked means that an attempt ended because of a fault of the program.
var errPanicked = errors.New("reach: panic in an attempt to connect")

// try makes an attempt; one that panics has failed.
func (d *Dialer) try(dial func() (net.Conn, error)) attempt {
	out := attempt{err: errPanicked}
	d.guard.Call(partName, supervise.NoWork, func() {
		c, err := dial()
		out = attempt{c, err}
	})
	return out
}

// run returns the first connection that comes up.
func (r *race) run(ctx context.Context) (net.Conn, error) {
	for r.directErr == nil || r.tunnelErr == nil {
		select {
		case <-r.late:
			r.startTunnel(ctx)
		case a := <-r.direct:
			r.direct = nil
			if a.err == nil {
				r.abandon()
				return a.conn, nil
			}
			r.directErr = a.err
			r.startTunnel(ctx)
		case a := <-r.tunneled:
			r.tunneled = nil
			if a.err == nil {
				r.tunnelWon()
				return a.conn, nil
			}
			r.tunnelErr = a.err
		case <-ctx.Done():
			r.abandon()
			return nil, ctx.Err()
		}
	}
	r.abandon()
	return nil, combine(r.directErr, r.tunnelErr)
}

// abandon ends the attempts that still run, and closes connections that come up all the same.
func (r *race) abandon() {
	r.endDirect()
	for _, running := range []chan attempt{r.direct, r.tunneled} {
		if running != nil {
			go func() { (<-running).close() }()
		}
	}
}

// tunnelWon finds out whether the own links reach the server as well. The first attempt may have met a server that was silent for
// everybody until the tunnel came up, so that only its success counts.
func (r *race) tunnelWon() {
	r.keepDirect()
	go func() {
		defer r.abandon()
		r.dialer.guard.Call(partName, supervise.NoWork, func() { r.dialer.verifyLost(r.to.Addr) })
	}()
}

// combine returns the error of a connection that came up on neither way.
func combine(directErr, tunnelErr error) error {
	refused := errors.Is(directErr, syscall.ECONNREFUSED)
	switch {
	case errors.Is(tunnelErr, tunnel.ErrNotListening) && !refused:
		return errors.Wrap(syscall.ECONNREFUSED, tunnelErr.Error())
	case refused && (errors.Is(tunnelErr, tunnel.ErrUnreachable) || errors.Is(tunnelErr, tunnel.ErrNoPath)):
		return errUnconfirmed
	default:
		return directErr
	}
}
