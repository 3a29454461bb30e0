package kv

import (
	"net"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// isDialError reports whether the connection could not be opened, so that no byte was sent.
func isDialError(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
