package backend

import (
	"context"

	"github.com/pkg/errors"

	"junctioncross/call"
	"junctioncross/models"
)

// Errors of calls to chained engines.
var (
	// ErrNoAnswer means that no answer came. The server may have carried out the call, or may do so later.
	ErrNoAnswer = errors.New("backend: no answer")
	// ErrUnreachable means that no connection came up while an answer was waited for. An error that is ErrUnreachable is also ErrNoAnswer.
	ErrUnreachable = errors.New("backend: no connection comes up")
	// ErrNotListening means that nothing listens at the address. An error that is ErrNotListening is also ErrNoAnswer.
	ErrNotListening = errors.New("backend: nothing listens at the address")
	// ErrStale means that the server's state has changed since the order was decided on.
	ErrStale = errors.New("backend: order does not fit the server's state")
	// ErrUnknownRequest means that the server does not know the request.
	ErrUnknownRequest = errors.New("backend: no such request")
	// ErrGarbled means that the server's answer cannot be parsed as a report.
	ErrGarbled = errors.New("backend: not a report")
	// ErrRefused means that the server refused the call for any other reason.
	ErrRefused = errors.New("backend: call refused")
)

// Report is the state of a chained engine's server as the server itself reports it, some hundred milliseconds old.
type Report struct {
	// Born is the start time of the server's process, in milliseconds since 1970; 0 means that it did not say.
	Born int64
	// Busy is true while an order is carried out.
	Busy bool
	// Orders is the number of orders that the server has taken.
	Orders int64
	// Layers is the range of layers that the server holds.
	Layers models.Layers
	// Running is the number of requests that the server runs.
	Running int
	// Waiting is the number of requests that wait for memory or a place in the batch.
	Waiting int
	// Used and Total count memory in tokens times layers.
	Used  float64
	Total float64
	// Pace is how many times slower than usual the server is; 1 is its usual speed, and 0 means that it did not say.
	Pace float64
	// Stalled lists the servers that streams through this server wait for.
	Stalled []Suspect
	// Notice is what the head of the answer says. It has a RetryAfter only together with ErrRefused.
	call.Notice
}

// notListening is an error that is both ErrNoAnswer and ErrNotListening.
type notListening struct{ cause error }

// NotListening returns the error of a call whose connection was refused.
func NotListening(cause error) error { return notListening{cause: cause} }

// Error implements error.
func (e notListening) Error() string { return ErrNotListening.Error() + ": " + e.cause.Error() }

// Is implements the interface that errors.Is uses.
func (notListening) Is(target error) bool { return target == ErrNoAnswer || target == ErrNotListening }

// unreachable is an error that is both ErrNoAnswer and ErrUnreachable.
type unreachable struct{ cause error }

// Unreachable returns the error of a call for which no connection came up.
func Unreachable(cause error) error { return unreachable{cause: cause} }

// Error implements error.
func (e unreachable) Error() string { return ErrUnreachable.Error() + ": " + e.cause.Error() }

// Is implements the interface that errors.Is uses.
func (unreachable) Is(target error) bool { return target == ErrNoAnswer || target == ErrUnreachable }

// Suspect is a server that seems to be stalled, according to another server on the path that waits for it.
type Suspect struct {
	ID   string
	Addr string
}

// PlaceOrder orders a server to hold a range of layers.
type PlaceOrder struct {
	Layers models.Layers
	// ExpectOrders is the number of orders that the server is known to have taken. If it has taken another number, it refuses the
	// order.
	ExpectOrders int64
	// Cut makes the server cut the streams through layers that it drops. Otherwise it keeps these layers until the streams have
	// ended.
	Cut bool
}

// RepairError is the refusal of a new path because of one server on it.
type RepairError struct {
	// Addr is the address of that server.
	Addr string
}

// Error implements error.
func (e *RepairError) Error() string {
	return "backend: new path refused because of the server " + e.Addr
}

// EngineClient makes the calls to servers of chained engines that are not requests of callers.
type EngineClient interface {
	// Report queries a server's state; it returns ErrNoAnswer, ErrGarbled or ErrRefused.
	Report(ctx context.Context, addr string) (Report, error)
	// Place orders a server to hold a range of layers; it returns ErrStale, ErrNoAnswer or ErrRefused.
	Place(ctx context.Context, addr, id string, order PlaceOrder) error
	// Repair gives a running request a new path with the same first server; it returns a *RepairError, ErrUnknownRequest,
	// ErrNoAnswer or ErrRefused.
	Repair(ctx context.Context, addr, requestID string, path []call.Stage) error
}
