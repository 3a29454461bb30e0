package forward

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// maxPlainBody limits the body of a plain answer, which is held in memory until it is complete.
	maxPlainBody = 8 << 20
	// firstBodyBytes is what each body may take in any case; bodies that are larger share a limit.
	firstBodyBytes = 16 << 10
	// defaultHeldBytes is that limit where the memory of the instance is not known.
	defaultHeldBytes = 32 << 20
)

// errNoMemory means that the bodies of other answers take the memory that there is for bodies.
var errNoMemory = errors.New("forward: no memory for the body of an answer")

// heldBodies is the memory, in bytes, that is left for the larger bodies of plain answers.
type heldBodies struct{ left atomic.Int64 }

// take takes memory and reports whether there was enough.
func (b *heldBodies) take(bytes int) bool {
	if b.left.Add(-int64(bytes)) >= 0 {
		return true
	}
	b.giveBack(bytes)
	return false
}

func (b *heldBodies) giveBack(bytes int) { b.left.Add(int64(bytes)) }

// readWhole reads the body of an answer; the error means that it is incomplete or too large.
func (h *Handler) readWhole(r *request, s *sentRequest) ([]byte, error) {
	if !s.bodiless && s.head.ContentLength() > maxPlainBody {
		return nil, errMalformed
	}
	from := s.body()
	body, err := h.readHeld(r, from)
	if err != nil {
		return nil, err
	}
	return body, from.end()
}

// readHeld reads a body to its end and takes the memory for it as it grows; the request gives it back when it ends.
func (h *Handler) readHeld(r *request, from io.Reader) ([]byte, error) {
	body := make([]byte, 0, streamBuffer)
	for {
		if len(body) == cap(body) {
			larger, err := h.grow(r, body)
			if err != nil {
				return nil, err
			}
			body = larger
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns the body with room for as much again.
func (h *Handler) grow(r *request, body []byte) ([]byte, error) {
	size := min(2*cap(body), maxPlainBody+1)
	if size <= len(body) {
		return nil, errMalformed
	}
	if more := size - max(cap(body), firstBodyBytes); more > 0 {
		if !h.bodies.take(more) {
			h.stats.Counter("bodies_without_memory_total").Inc(1)
			return nil, errNoMemory
		}
		r.heldBytes += more
	}
	return append(make([]byte, 0, size), body...), nil
}
