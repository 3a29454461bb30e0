package httphead

import (
	"bufio"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Read reads the next head into h once all of it has come and is sound. A line that breaks it ends the wait at once. The error is a
// *MalformedError, ErrTooLong if the head does not fit into the buffer of r, or that of the connection.
func Read(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	if err := await(r); err != nil {
		return err
	}
	return errors.Wrap(h.Read(r), "httphead: read")
}

// await waits for a whole head and checks its lines as they come. It takes nothing from the reader.
func await(r *bufio.Reader) error {
	var c checker
	for {
		begun, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		whole, err := c.check(begun)
		if err != nil || whole {
			return err
		}
		if err := awaitMore(r); err != nil {
			return err
		}
	}
}

// awaitMore waits until the buffer holds more than before.
func awaitMore(r *bufio.Reader) error {
	_, err := r.Peek(r.Buffered() + 1)
	if errors.Is(err, bufio.ErrBufferFull) {
		return ErrTooLong
	}
	return err
}
