package engine

import "github.com/pkg/errors"

// Errors of calls to engines.
var (
	// ErrUnreachable means that no connection could be opened: no byte was sent.
	ErrUnreachable = errors.New("engine: backend server unreachable")
	// ErrTimeout means that the answer did not arrive in time; the frame may have run.
	ErrTimeout = errors.New("engine: answer timed out")
	// ErrLost means that the connection broke before the answer; the frame may have run.
	ErrLost = errors.New("engine: answer lost")
	// ErrRefused means that the frame was not started: the backend server refused it, or it was not sent.
	ErrRefused = errors.New("engine: frame not started")
	// ErrOutOfOrder means that the frame was not the one that the backend server expected next, or that a result does not match its
	// frame.
	ErrOutOfOrder = errors.New("engine: out of order")
	// ErrFenced means that the backend server has accepted an order with a higher fencing token.
	ErrFenced = errors.New("engine: order fenced off")
)

// NotStarted reports whether the error guarantees that the backend server did not start the call.
func NotStarted(err error) bool {
	return errors.Is(err, ErrUnreachable) || errors.Is(err, ErrRefused)
}
