package reach

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"junctioncross/backend"
	"junctioncross/metrics"
	"junctioncross/supervise"
	"junctioncross/timer"
	"junctioncross/tunnel"
)

const (
	// partName is the name of this part in lines on panics.
	partName = "paths"
	// probePeriod is how often lost paths are probed, probesAtOnce how many of them at a time, and probeTimeout limits a probe.
	probePeriod  = 500 * time.Millisecond
	probesAtOnce = 2
	probeTimeout = 200 * time.Millisecond
)

// Tunnels opens connections to servers through other instances.
type Tunnels interface {
	// Dial returns an error of package tunnel if there is no connection.
	Dial(ctx context.Context, to backend.Endpoint) (net.Conn, error)
}

// Dialer opens connections to servers over the instance's own links, and through other instances where these do not reach; it
// implements backend.Dialer and tunnel.DirectPaths.
type Dialer struct {
	direct  backend.Dialer
	tunnels Tunnels
	servers Servers
	clock   *timer.Service
	stats   *metrics.Registry
	log     *logrus.Logger
	guard   *supervise.Supervisor

	mu   sync.Mutex
	book *Book
	// outages holds, by failure domain, whether nobody reaches its servers.
	outages map[string]*outage
	// allLost is true while all servers that were tried are out of reach.
	allLost bool
	observe func(backend.PathChange)

	vouching vouching
}

// New returns a Dialer that opens connections with direct and, where these do not come up, through tunnels. It probes lost paths
// until ctx ends.
func New(
	ctx context.Context, direct backend.Dialer, tunnels Tunnels, servers Servers, clock *timer.Service, stats *metrics.Registry, log *logrus.Logger,
) *Dialer {
	d := &Dialer{
		direct: direct, tunnels: tunnels, servers: servers, clock: clock, stats: stats, log: log, guard: supervise.New(clock, stats, log),
		book:    NewBook(),
		outages: map[string]*outage{},
		observe: func(backend.PathChange) {}, vouching: vouching{byDomain: map[string]*voucher{}},
	}
	ticks := clock.Subscribe(probePeriod)
	go func() { d.guard.OnTicks(ctx, partName, ticks, func() { d.probe(ctx) }) }()
	return d
}

// Observe implements backend.Dialer.
func (d *Dialer) Observe(observe func(backend.PathChange)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observe = observe
}

// Lost implements backend.Dialer.
func (d *Dialer) Lost(addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Lost(addr)
}

// PathFailed implements backend.Dialer.
func (d *Dialer) PathFailed(addr string, conn net.Conn, err error) bool {
	if t, ok := conn.(*tunnel.Conn); ok {
		return !t.ServerFailed(err)
	}
	return d.Lost(addr)
}

// DialDirect implements tunnel.DirectPaths.
func (d *Dialer) DialDirect(ctx context.Context, addr string) (net.Conn, error) {
	begun, limit := d.clock.Now(), d.dialLimit(ctx)
	c, err := d.direct.Dial(ctx, backend.Endpoint{Addr: addr})
	switch {
	case errors.Is(err, context.Canceled):
	case timedOut(err) && d.clock.DelayedSince(begun, limit):
		d.stats.Counter("server_dials_total{result=\"late\"}").Inc(1)
	default:
		d.noteDirect(addr, err)
	}
	return c, err
}

// dialLimit returns within which time a connection comes up that is begun now, by an instance that is not late itself.
func (d *Dialer) dialLimit(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return backend.DialTimeout
	}
	return min(d.clock.LeftUntil(deadline)-d.clock.Patience(0), backend.DialTimeout)
}

// Dial implements backend.Dialer.
func (d *Dialer) Dial(ctx context.Context, to backend.Endpoint) (net.Conn, error) {
	switch route := d.route(to.Addr); route {
	case OwnLinksOnly:
		return d.dialAlone(ctx, to.Addr)
	case OtherInstance:
		if c, err := d.dialTunnel(ctx, to); err == nil {
			return c, nil
		}
		return d.DialDirect(ctx, to.Addr)
	default:
		return d.startRace(ctx, to, route).run(ctx)
	}
}

func (d *Dialer) route(addr string) Route {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	route := d.book.Route(addr, now)
	if route != OwnLinksOnly && !d.outageLocked(addr).mayAsk(now) {
		return OwnLinksOnly
	}
	return route
}

// outageLocked returns the outage of the domain of a server; the caller holds the lock.
func (d *Dialer) outageLocked(addr string) *outage {
	domain := ""
	if s := d.servers.ServerAt(addr); s != nil {
		domain = s.Domain()
	}
	if d.outages[domain] == nil {
		d.outages[domain] = &outage{}
	}
	return d.outages[domain]
}

// dialAlone uses the own links only, since no other instance reaches the server.
func (d *Dialer) dialAlone(ctx context.Context, addr string) (net.Conn, error) {
	c, err := d.DialDirect(ctx, addr)
	if err == nil {
		return c, nil
	}
	tunnelErr := d.tunnelErr(addr)
	if tunnelErr == nil {
		tunnelErr = tunnel.ErrNoPath
	}
	return nil, combine(err, tunnelErr)
}

func (d *Dialer) tunnelErr(addr string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.TunnelErr(addr, d.clock.Now())
}

// dialTunnel opens a tunnel, and notes that there is none.
func (d *Dialer) dialTunnel(ctx context.Context, to backend.Endpoint) (net.Conn, error) {
	c, err := d.tunnels.Dial(ctx, to)
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil:
		d.outageLocked(to.Addr).noteReached()
	case errors.Is(err, tunnel.ErrNotListening):
		d.book.NoteHopeless(to.Addr, err, now)
	case errors.Is(err, tunnel.ErrUnreachable), errors.Is(err, tunnel.ErrNoPath):
		d.book.NoteHopeless(to.Addr, err, now)
		d.outageLocked(to.Addr).noteFailed(to.Addr, now)
	}
	return c, err
}

// probe tries the own links to some servers whose path is lost.
func (d *Dialer) probe(ctx context.Context) {
	lost := d.lostServers()
	for _, addr := range lost[:min(len(lost), probesAtOnce)] {
		go func() { d.guard.Call(partName, supervise.NoWork, func() { d.probeOne(ctx, addr) }) }()
	}
}

func (d *Dialer) probeOne(ctx context.Context, addr string) {
	ctx, cancel := d.clock.WithTimeout(ctx, d.clock.Patience(probeTimeout))
	defer cancel()
	d.connects(ctx, addr)
}

func (d *Dialer) lostServers() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.LostServers()
}

// connects reports whether a connection to a server comes up over the own links, and closes it.
func (d *Dialer) connects(ctx context.Context, addr string) bool {
	c, err := d.DialDirect(ctx, addr)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// noteDirect records the outcome of an attempt over the own links.
func (d *Dialer) noteDirect(addr string, err error) {
	d.stats.Counter("server_dials_total{result=\"" + resultOf(err) + "\"}").Inc(1)
	if observe, regained := d.bookDirect(addr, err); regained {
		d.log.WithField("address", addr).Info("path to servers regained")
		observe(backend.PathsRegained{})
	}
}

// bookDirect enters the outcome of an attempt over the own links, and reports whether it regains paths, and to whom to tell that.
func (d *Dialer) bookDirect(addr string, err error) (observe func(backend.PathChange), regained bool) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		regained = d.book.Connected(addr, now)
		d.outageLocked(addr).noteReached()
	} else {
		d.book.Failed(addr, now)
	}
	d.reviewLocked(now)
	return d.observe, regained
}

// verifyLost notes the path to a server that another instance has just reached as lost, unless a connection over the own links comes
// up as well.
func (d *Dialer) verifyLost(addr string) {
	begun := d.clock.Now()
	ctx, cancel := d.clock.WithTimeout(context.Background(), d.clock.Patience(lostDelay))
	defer cancel()
	c, err := d.DialDirect(ctx, addr)
	switch {
	case err == nil:
		_ = c.Close()
	case timedOut(err) && d.clock.DelayedSince(begun, lostDelay):
	default:
		d.noteLost(addr, begun)
	}
}

// noteLost records that a server is reached through another instance only, unless the own links have reached it since begun.
func (d *Dialer) noteLost(addr string, begun time.Time) {
	summary, observe, isNew := d.bookLost(addr, begun)
	if isNew {
		d.stats.Counter("paths_lost_total").Inc(1)
		d.log.WithFields(logrus.Fields{"address": addr, "lost": summary.Lost}).Warn("path to a server lost, others reach it")
		observe(backend.PathLost{Addr: addr, Many: summary.many()})
	}
}

// bookLost enters the loss of the path to a server, and reports whether it is new, and to whom to tell that.
func (d *Dialer) bookLost(addr string, begun time.Time) (summary Summary, observe func(backend.PathChange), isNew bool) {
	now := d.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	isNew = d.book.NoteLost(addr, begun, now)
	return d.reviewLocked(now), d.observe, isNew
}

// reviewLocked updates the gauges, logs a change of whether any server is within reach, and returns the summary; the caller holds the
// lock.
func (d *Dialer) reviewLocked(now time.Time) Summary {
	s := d.book.Summary(now)
	d.stats.Gauge("servers_out_of_reach").Update(int64(s.OutOfReach))
	d.stats.Gauge("paths_lost").Update(int64(s.Lost))
	if s.All() != d.allLost {
		d.allLost = s.All()
		d.logChange(s)
	}
	return s
}

func (d *Dialer) logChange(s Summary) {
	fields := logrus.Fields{"out_of_reach": s.OutOfReach, "tried": s.Tried}
	if d.allLost {
		d.log.WithFields(fields).Warn("no server within reach")
		return
	}
	d.log.WithFields(fields).Info("servers within reach again")
}

// resultOf returns the outcome of an attempt as the metrics name it.
func resultOf(err error) string {
	switch {
	case err == nil:
		return "connected"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case timedOut(err):
		return "silent"
	default:
		return "failed"
	}
}

// timedOut reports whether an error means that a time limit has passed.
func timedOut(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
