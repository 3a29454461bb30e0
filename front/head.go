package front

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/httphead"
)

// Errors of a head that the library accepts and in which a server may see something else.
var (
	errFolded   = errors.New("front: header on several lines")
	errEncoding = errors.New("front: unsupported transfer encoding")
	errName     = errors.New("front: header name that is no token")
)

// checkHead reports whether a head announces a body, which may be empty.
func checkHead(h *fasthttp.RequestHeader) (hasBody bool, err error) {
	raw := h.RawHeaders()
	if bytes.Contains(raw, []byte("\n ")) || bytes.Contains(raw, []byte("\n\t")) {
		return false, errFolded
	}
	for name := range h.AllInOrder() {
		if !httphead.IsToken(name) {
			return false, errName
		}
		switch string(name) {
		case fasthttp.HeaderContentLength:
			hasBody = true
		case fasthttp.HeaderTransferEncoding:
			// The library ignores some encodings, so that the body would be taken for the next request.
			if h.ContentLength() != httphead.ChunkedLength {
				return false, errEncoding
			}
			hasBody = true
		}
	}
	return hasBody, nil
}
