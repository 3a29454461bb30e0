package tunnel

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/link"
	"junctioncross/membership"
	"junctioncross/metrics"
	"junctioncross/supervise"
	"junctioncross/timer"
)

// Errors of opening a tunnel; nothing was sent to the server.
var (
	// ErrNotListening means that another instance found nothing listening at the server's address.
	ErrNotListening = errors.New("tunnel: nothing listens at the server")
	// ErrUnreachable means that no other instance reached the server.
	ErrUnreachable = errors.New("tunnel: no instance reaches the server")
	// ErrNoPath means that the instances that were asked do not reach servers themselves.
	ErrNoPath = errors.New("tunnel: no instance has a path to servers")
	// ErrNoPeer means that no other instance could be asked.
	ErrNoPeer = errors.New("tunnel: no instance to ask")
)

const (
	// nextPeerDelay is how long one instance is waited for before the next one is asked as well: many times what opening takes.
	nextPeerDelay = 40 * time.Millisecond
	// openTimeout limits the answer of one instance, which may try to connect to the server and to others after that.
	openTimeout = 350 * time.Millisecond
	// maxAsked is how many instances are asked for one tunnel, and enoughUnreachable how many that do not reach the server are enough
	// to believe them.
	maxAsked          = 8
	enoughUnreachable = 3
	// tidyPeriod is how often unused connections to other instances are closed.
	tidyPeriod = time.Second
)

// Fleet tells which instances there are.
type Fleet interface {
	Members() []membership.Instance
	// Key returns the fleet key, without which no instance can be asked.
	Key() []byte
}

// Servers finds servers among those that the instance knows.
type Servers interface {
	// ServerAt returns the server at an address, or nil.
	ServerAt(addr string) *backend.Server
	// ServerOf returns the server of an incarnation, or nil.
	ServerOf(incarnation backend.Incarnation) *backend.Server
}

// Self is this instance as others know it.
type Self struct{ Name, Domain string }

// Client opens tunnels through other instances.
type Client struct {
	self    Self
	fleet   Fleet
	servers Servers
	links   *link.StreamClient
	clock   *timer.Service
	stats   *metrics.Registry
	guard   *supervise.Supervisor

	mu    sync.Mutex
	peers *peers
	open  int64
}

// NewClient returns a Client; it closes unused connections to other instances until ctx ends.
func NewClient(
	ctx context.Context, self Self, fleet Fleet, servers Servers, links *link.StreamClient, clock *timer.Service, stats *metrics.Registry,
	guard *supervise.Supervisor,
) *Client {
	c := &Client{
		self: self, fleet: fleet, servers: servers, links: links, clock: clock, stats: stats, guard: guard, peers: newPeers(self.Domain),
	}
	ticks := clock.Subscribe(tidyPeriod)
	go func() {
		defer links.Close()
		guard.OnTicks(ctx, partName, ticks, links.CloseUnused)
	}()
	return c
}

// result is the answer of one instance that was asked for a tunnel.
type result struct {
	conn    *Conn
	verdict Verdict
}

// Dial opens a tunnel to a server through the first instance that reaches it. The error is ErrNotListening, ErrUnreachable,
// ErrNoPath or ErrNoPeer.
func (c *Client) Dial(ctx context.Context, to backend.Endpoint) (net.Conn, error) {
	server := c.servers.ServerAt(to.Addr)
	if server == nil || len(c.fleet.Key()) == 0 {
		return nil, ErrNoPeer
	}
	ask := open{Server: server.ID(), Born: server.Incarnation().Born, Request: to.Request, NewWork: to.NewWork, From: c.self.Name}
	ctx, cancel := c.clock.WithTimeout(ctx, c.clock.Patience(openTimeout))
	defer cancel()
	return c.askInTurn(ctx, ask, c.candidates())
}

// candidates returns the instances to ask, in order.
func (c *Client) candidates() []membership.Instance {
	var others []membership.Instance
	for _, m := range c.fleet.Members() {
		if m.Name != c.self.Name && m.Addr != "" {
			others = append(others, m)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	order := c.peers.order(others, c.clock.Now(), rand.Float64)
	return order[:min(len(order), maxAsked)]
}

// askInTurn asks one instance after the other, the next one when an answer is late or is no tunnel, and returns the first tunnel.
func (c *Client) askInTurn(ctx context.Context, ask open, candidates []membership.Instance) (net.Conn, error) {
	results := make(chan result, len(candidates))
	asked, answered := 0, 0
	var verdicts verdictCount
	defer func() { go c.closeLate(results, asked-answered) }()
	askNext := func() {
		if asked < len(candidates) {
			c.ask(ctx, candidates[asked], ask, results)
			asked++
		}
	}
	for {
		if asked == answered {
			askNext()
		}
		if asked == answered {
			return nil, verdicts.failure()
		}
		var late <-chan time.Time
		if asked < len(candidates) {
			late = c.clock.After(c.clock.Patience(nextPeerDelay))
		}
		select {
		case r := <-results:
			answered++
			if r.conn != nil {
				return r.conn, nil
			}
			if verdicts.add(r.verdict); verdicts.final() {
				return nil, verdicts.failure()
			}
		case <-late:
			askNext()
		case <-ctx.Done():
			return nil, verdicts.failure()
		}
	}
}

// verdictCount counts what instances that opened no tunnel have answered.
type verdictCount struct{ notListening, unreachable, noPath int }

func (v *verdictCount) add(verdict Verdict) {
	switch verdict {
	case NotListening:
		v.notListening++
	case Unreachable:
		v.unreachable++
	case NoPath:
		v.noPath++
	}
}

// final reports whether further instances need not be asked.
func (v *verdictCount) final() bool { return v.notListening > 0 || v.unreachable >= enoughUnreachable }

// failure returns the error for a server to which there is no tunnel.
func (v *verdictCount) failure() error {
	switch {
	case v.notListening > 0:
		return ErrNotListening
	case v.unreachable > 0:
		return ErrUnreachable
	case v.noPath > 0:
		return ErrNoPath
	default:
		return ErrNoPeer
	}
}

// closeLate closes the tunnels that come up after another one was taken.
func (c *Client) closeLate(results <-chan result, n int) {
	for range n {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

// ask asks one instance in the background.
func (c *Client) ask(ctx context.Context, m membership.Instance, ask open, results chan<- result) {
	// An answer that comes when another instance has answered still tells whether this one reaches the server.
	ctx = context.WithoutCancel(ctx)
	go func() {
		var answered result
		c.guard.Call(partName, supervise.NoWork, func() { answered = c.askOne(ctx, m, ask) })
		results <- answered
	}()
}

// askOne asks one instance and notes how that went.
func (c *Client) askOne(ctx context.Context, m membership.Instance, ask open) result {
	begun := c.clock.Now()
	ctx, cancel := c.clock.WithTimeout(ctx, c.clock.Patience(openTimeout))
	defer cancel()
	conn, answer, err := c.openAt(ctx, m, ask)
	if err == nil || !c.clock.DelayedSince(begun, openTimeout) {
		c.note(m, answer, err)
	}
	return result{conn: conn, verdict: answer.verdict}
}

func (c *Client) note(m membership.Instance, answer reply, err error) {
	verdict := answer.verdict.String()
	if err != nil {
		verdict = "lost"
	}
	c.stats.Counter("tunnels_asked_total{verdict=\"" + verdict + "\"}").Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.peers.noteLost(m.Addr, c.clock.Now())
		return
	}
	c.peers.note(m.Addr, answer, c.clock.Now())
}

// openAt asks one instance; the connection is nil unless its verdict is Opened.
func (c *Client) openAt(ctx context.Context, m membership.Instance, ask open) (*Conn, reply, error) {
	stream, done, err := c.links.Open(ctx, m.Addr)
	if err != nil {
		return nil, reply{}, err
	}
	opened := false
	conn := &Conn{Stream: stream, peer: m.Name, end: func() {
		done()
		if opened {
			c.noteEnded(m.Addr)
		}
	}}
	settled := false
	defer func() {
		if !settled {
			_ = conn.Close()
		}
	}()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err = writeOpen(stream, ask)
	var answer reply
	if err == nil {
		answer, err = readReply(stream)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil || answer.verdict != Opened {
		return nil, answer, err
	}
	opened = true
	c.noteOpened()
	settled = true
	return conn, answer, nil
}

func (c *Client) noteOpened() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addOpenLocked(1)
}

func (c *Client) noteEnded(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addOpenLocked(-1)
	c.peers.noteEnded(addr, c.clock.Now())
}

// addOpenLocked changes the number of open tunnels; the caller holds the lock.
func (c *Client) addOpenLocked(n int64) {
	c.open += n
	c.stats.Gauge("tunnels_open").Update(c.open)
}
