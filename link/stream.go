package link

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"junctioncross/keys"
	"junctioncross/supervise"
	"junctioncross/timer"
)

// unusedStreamTime is how long a connection for streams is kept without one.
const unusedStreamTime = 5 * time.Second

// StreamHandler serves one stream of another instance; ctx ends with the connection. It closes the stream.
type StreamHandler func(ctx context.Context, from keys.Identity, stream *quic.Stream)

// HandleStreams sets what serves streams; without it the instance accepts none.
func (m *Mux) HandleStreams(fn StreamHandler) { m.streams = fn }

// StreamClient opens streams to other instances. It keeps its connections apart from those for calls, since a call that fails closes
// its connection.
type StreamClient struct {
	trust Trust
	clock *timer.Service
	guard *supervise.Supervisor

	mu    sync.Mutex
	conns map[string]*streamConn
	// dialing holds the connections that are being opened, by address.
	dialing map[string]*dialing
}

// errNotDialled means that a connection was not opened because of a fault of the program.
var errNotDialled = errors.New("link: panic while a connection was opened")

// dialing is a connection that is being opened; err is set when done is closed.
type dialing struct {
	done chan struct{}
	err  error
}

// streamConn is a connection for streams to one instance.
type streamConn struct {
	*quic.Conn
	// open is the number of its streams, and unusedSince when the last one ended.
	open        int
	unusedSince time.Time
}

// NewStreamClient returns a StreamClient whose connections use the TLS settings of trust.
func NewStreamClient(trust Trust, clock *timer.Service, guard *supervise.Supervisor) *StreamClient {
	return &StreamClient{trust: trust, clock: clock, guard: guard, conns: map[string]*streamConn{}, dialing: map[string]*dialing{}}
}

// Open opens a stream to the instance at addr; done must be called once when it is no longer used. The error is ErrUnreachable.
func (c *StreamClient) Open(ctx context.Context, addr string) (stream *quic.Stream, done func(), err error) {
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return nil, nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	stream, err = conn.OpenStreamSync(ctx)
	if err != nil {
		c.release(conn)
		return nil, nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	var once sync.Once
	return stream, func() { once.Do(func() { c.release(conn) }) }, nil
}

// connect returns a connection to addr on which one more stream is counted.
func (c *StreamClient) connect(ctx context.Context, addr string) (*streamConn, error) {
	if conn := c.take(addr); conn != nil {
		return conn, nil
	}
	d := c.dial(addr)
	select {
	case <-d.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if d.err != nil {
		return nil, d.err
	}
	if conn := c.take(addr); conn != nil {
		return conn, nil
	}
	return nil, errors.New("link: connection for streams has ended")
}

// dial opens a connection to addr, or returns the one that is being opened already.
func (c *StreamClient) dial(addr string) *dialing {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.dialing[addr]; d != nil {
		return d
	}
	d := &dialing{done: make(chan struct{}), err: errNotDialled}
	c.dialing[addr] = d
	go func() {
		defer close(d.done)
		c.guard.Call(partName, supervise.NoWork, func() { c.open(addr, d) })
	}()
	return d
}

// open opens a connection to addr, and keeps it.
func (c *StreamClient) open(addr string, d *dialing) {
	defer c.forgetDialing(addr)
	ctx, cancel := context.WithTimeout(context.Background(), streamSilence)
	defer cancel()
	conn, err := quic.DialAddr(ctx, addr, c.trust.Client(streamProtocol), streamConfig())
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.err = err; err == nil {
		c.conns[addr] = &streamConn{Conn: conn, unusedSince: c.clock.Now()}
	}
}

func (c *StreamClient) forgetDialing(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.dialing, addr)
}

// take returns the connection to addr, if it is open, with one more stream counted.
func (c *StreamClient) take(addr string) *streamConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[addr]
	if conn == nil || conn.Context().Err() != nil {
		return nil
	}
	conn.open++
	return conn
}

func (c *StreamClient) release(conn *streamConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.open--
	conn.unusedSince = c.clock.Now()
}

// CloseUnused closes the connections that have had no stream for some time, and forgets those that have ended.
func (c *StreamClient) CloseUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conn := range c.conns {
		if conn.open == 0 && c.clock.Since(conn.unusedSince) > unusedStreamTime {
			_ = conn.CloseWithError(0, "unused")
		}
		if conn.Context().Err() != nil {
			delete(c.conns, addr)
		}
	}
}

// Close closes all connections.
func (c *StreamClient) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.CloseWithError(0, "closing")
	}
	c.conns = map[string]*streamConn{}
}
