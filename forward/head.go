package forward

import (
	"bytes"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/httphead"
)

// headEnd is the end of a head.
var headEnd = []byte("\r\n\r\n")

// readHead reads the head of an answer, after interim answers, which are not passed on.
func (h *Handler) readHead(s *sentRequest) error {
	s.head.SetNoDefaultContentType(true)
	if err := httphead.SkipInterim(&s.head, func() error { return h.readOneHead(s) }); err != nil {
		return err
	}
	if s.head.StatusCode() < fasthttp.StatusOK {
		return errMalformed
	}
	return nil
}

// readOneHead reads one head. Bytes that are no head and do not end are given up once they fill the reader's buffer, or after eventTime if they
// come slowly.
func (h *Handler) readOneHead(s *sentRequest) error {
	if _, err := s.conn.Reader.Peek(1); err != nil {
		return errors.Wrap(err, "forward: read answer")
	}
	if begun, _ := s.conn.Reader.Peek(s.conn.Reader.Buffered()); !bytes.Contains(begun, headEnd) {
		if err := s.conn.SetReadDeadline(h.clock.DeadlineIn(h.clock.Patience(eventTime))); err != nil {
			return errors.Wrap(err, "forward: read answer")
		}
		defer func() { _ = s.conn.SetReadDeadline(time.Time{}) }()
	}
	if err := httphead.Read(s.conn.Reader, &s.head); err != nil {
		return errors.Wrap(err, "forward: read answer")
	}
	return nil
}
