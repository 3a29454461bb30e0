package forward

import (
	"bytes"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// headEnd is the end of a head.
var headEnd = []byte("\r\n\r\n")

// readHead reads the head of an answer. Bytes that are no head and do not end are given up once they fill the reader's buffer, or after
// eventTime if they come slowly. Interim answers are no answers: nothing was sent that asks for them.
func (h *Handler) readHead(s *sentRequest) error {
	if _, err := s.conn.Reader.Peek(1); err != nil {
		return errors.Wrap(err, "forward: read answer")
	}
	if begun, _ := s.conn.Reader.Peek(s.conn.Reader.Buffered()); !bytes.Contains(begun, headEnd) {
		if err := s.conn.SetReadDeadline(h.clock.DeadlineIn(h.clock.Patience(eventTime))); err != nil {
			return errors.Wrap(err, "forward: read answer")
		}
		defer func() { _ = s.conn.SetReadDeadline(time.Time{}) }()
	}
	if err := s.head.Read(s.conn.Reader); err != nil {
		return errors.Wrap(err, "forward: read answer")
	}
	if s.head.StatusCode() < fasthttp.StatusOK {
		return errMalformed
	}
	return nil
}
