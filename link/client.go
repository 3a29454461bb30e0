package link

import (
	"context"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"junctioncross/metrics"
)

// Client calls other instances. It keeps one connection to each and opens another when that one has ended.
type Client struct {
	trust Trust
	stats *metrics.Registry

	mu    sync.Mutex
	conns map[string]*quic.Conn
}

// NewClient returns a Client whose connections use the TLS settings of trust.
func NewClient(trust Trust, stats *metrics.Registry) *Client {
	return &Client{trust: trust, stats: stats, conns: map[string]*quic.Conn{}}
}

// Call sends a request to the instance at addr and returns its response; the error is ErrUnreachable, ErrLost or ErrRefused.
func Call[Req, Resp any](ctx context.Context, c *Client, addr string, kind Kind, req Req) (Resp, error) {
	var answer Resp
	body, err := cbor.Marshal(req)
	if err != nil {
		return answer, errors.Wrap(ErrRefused, err.Error())
	}
	resp, err := c.exchange(ctx, addr, request{Kind: kind, Body: body})
	if err != nil {
		return answer, err
	}
	if resp.Refused != "" {
		return answer, errors.Wrap(ErrRefused, resp.Refused)
	}
	if err := cbor.Unmarshal(resp.Body, &answer); err != nil {
		return answer, errors.Wrap(ErrLost, err.Error())
	}
	return answer, nil
}

// Connect connects to the instance at addr unless a connection exists already. It returns ErrUnreachable, or ErrRefused when the
// instance answers but rejects the connection, as it does before it knows the fleet key.
func (c *Client) Connect(ctx context.Context, addr string) error {
	_, err := c.connect(ctx, addr)
	var transportErr *quic.TransportError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &transportErr) && transportErr.Remote:
		return errors.Wrap(ErrRefused, err.Error())
	default:
		return errors.Wrap(ErrUnreachable, err.Error())
	}
}

func (c *Client) exchange(ctx context.Context, addr string, req request) (response, error) {
	conn, err := c.connect(ctx, addr)
	if err != nil {
		return response{}, errors.Wrap(ErrUnreachable, err.Error())
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		c.drop(addr, conn)
		return response{}, errors.Wrap(ErrUnreachable, err.Error())
	}
	// Otherwise a call whose context has ended would hold its stream until the connection ends.
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if err := writeMessage(stream, req); err != nil {
		c.drop(addr, conn)
		return response{}, errors.Wrap(ErrLost, err.Error())
	}
	if err := stream.Close(); err != nil {
		return response{}, errors.Wrap(ErrLost, err.Error())
	}
	c.stats.Counter("link_calls_made_total").Inc(1)
	c.stats.Counter("link_bytes_sent_total").Inc(int64(len(req.Body)))
	resp, err := readMessage[response](stream)
	if err != nil {
		c.drop(addr, conn)
		return resp, errors.Wrap(ErrLost, err.Error())
	}
	c.stats.Counter("link_bytes_received_total").Inc(int64(len(resp.Body)))
	return resp, nil
}

func (c *Client) connect(ctx context.Context, addr string) (*quic.Conn, error) {
	c.mu.Lock()
	conn := c.conns[addr]
	c.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	conn, err := quic.DialAddr(ctx, addr, c.trust.Client(protocol), quicConfig())
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[addr]; other != nil && other.Context().Err() == nil {
		_ = conn.CloseWithError(0, "second connection")
		return other, nil
	}
	c.conns[addr] = conn
	return conn, nil
}

// drop closes a connection on which a call failed, so that the next call opens a new one.
func (c *Client) drop(addr string, conn *quic.Conn) {
	_ = conn.CloseWithError(0, "call failed")
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] == conn {
		delete(c.conns, addr)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.CloseWithError(0, "closing")
	}
	c.conns = map[string]*quic.Conn{}
}
