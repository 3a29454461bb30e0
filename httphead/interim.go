package httphead

import (
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// maxInterim is how many interim answers may precede an answer.
const maxInterim = 8

// ErrTooManyInterim means that too many interim answers came in place of an answer.
var ErrTooManyInterim = errors.New("httphead: too many interim answers")

// SkipInterim calls readHead, which reads a head into h, until that is no interim answer. An answer that the protocol is switched is the last one.
func SkipInterim(h *fasthttp.ResponseHeader, readHead func() error) error {
	for range maxInterim + 1 {
		if err := readHead(); err != nil {
			return err
		}
		if status := h.StatusCode(); status >= fasthttp.StatusOK || status == fasthttp.StatusSwitchingProtocols {
			return nil
		}
	}
	return ErrTooManyInterim
}
