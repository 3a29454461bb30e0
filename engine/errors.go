package engine

import "github.com/pkg/errors"

// Errors of this layer.
var (
	// ErrUnreachable means that no connection could be opened: no byte was sent.
	ErrUnreachable = errors.New("engine: backend server unreachable")
	// ErrTimeout means that the answer did not arrive in time; the frame may have run.
	ErrTimeout = errors.New("engine: answer timed out")
	// ErrLost means that the connection broke before the answer; the frame may have run.
	ErrLost = errors.New("engine: answer lost")
	// ErrRefused means that the backend server says it did not start the frame.
	ErrRefused = errors.New("engine: frame not started")
	// ErrOutOfOrder means that the frame or its result was not the next one expected.
	ErrOutOfOrder = errors.New("engine: out of order")
	// ErrFenced means that the backend server has taken an order with a higher fence.
	ErrFenced = errors.New("engine: order fenced off")
)

// NotStarted reports whether the error guarantees that the backend server started nothing.
func NotStarted(err error) bool {
	return errors.Is(err, ErrUnreachable) || errors.Is(err, ErrRefused)
}
