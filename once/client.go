package once

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// defaultBodyBytes limits the body of an answer, which is held in memory whole.
const defaultBodyBytes = 8 << 20

// NewClient returns a client that never retries a request by itself, takes no answer with a broken head and no body of more than 8 MiB; dialTimeout
// bounds the opening of a connection.
func NewClient(dialTimeout time.Duration) *fasthttp.Client {
	dialer := &fasthttp.TCPDialer{}
	return NewClientWith(func(addr string) (net.Conn, error) { return dialer.DialDualStackTimeout(addr, dialTimeout) })
}

// NewClientWith is NewClient with connections that dial opens.
func NewClientWith(dial fasthttp.DialFunc) *fasthttp.Client {
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:                      dial,
		MaxResponseBodySize:       defaultBodyBytes,
		Transport:                 transport{},
	}
}

// NeverSent reports whether the error means that the connection could not be opened, so that no byte was sent.
func NeverSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
