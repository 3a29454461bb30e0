package backend

import (
	"context"

	"github.com/pkg/errors"

	"junctioncross/call"
	"junctioncross/models"
)

// Errors of calls to chained engines.
var (
	// ErrNoAnswer means that no answer came; an order may have been taken or may be later.
	ErrNoAnswer = errors.New("backend: no answer")
	// ErrNotThere means that nothing listens at the address; it comes together with ErrNoAnswer.
	ErrNotThere = errors.New("backend: nothing listens there")
	// ErrStale means that the server is not in the state that the order was decided on.
	ErrStale = errors.New("backend: order does not fit the server's state")
	// ErrUnknown means that the server does not know the request.
	ErrUnknown = errors.New("backend: no such request")
	// ErrGarbled means that the server answered something that is no report.
	ErrGarbled = errors.New("backend: not a report")
	// ErrRefused means that the server did not take the call for another reason.
	ErrRefused = errors.New("backend: call refused")
)

// Report is what a chained engine says of itself; it is some hundred milliseconds old.
type Report struct {
	// Born is the moment of the server's start in milliseconds since 1970; 0 means that it does not tell.
	Born int64
	// Busy is true while an order is carried out.
	Busy    bool
	Orders  int64
	Layers  models.Layers
	Running int
	Waiting int
	// Used and Total count memory in tokens times layers.
	Used  float64
	Total float64
	// Pace is 1 for a server at its usual speed and more for a slow one; 0 means that it did not say.
	Pace float64
	// Stalled lists the servers that paths through this server wait for.
	Stalled []Suspect
	// Notice is what the head of the answer says; a time to come back comes with ErrRefused.
	call.Notice
}

// notListening is both ErrNoAnswer and ErrNotThere.
type notListening struct{ cause error }

// NotThere returns the error of a call whose connection was refused.
func NotThere(cause error) error { return notListening{cause: cause} }

// Error implements error.
func (e notListening) Error() string { return ErrNotThere.Error() + ": " + e.cause.Error() }

// Is implements the test of package errors.
func (notListening) Is(target error) bool { return target == ErrNoAnswer || target == ErrNotThere }

// Suspect is a server that stands still, as another one sees it.
type Suspect struct {
	ID   string
	Addr string
}

// PlaceOrder tells a server which layers to hold.
type PlaceOrder struct {
	Layers models.Layers
	// ExpectOrders is the number of orders that the server is known to have taken; another number makes it refuse.
	ExpectOrders int64
	// Cut breaks off what passes through layers that are given up; otherwise they are kept until that has ended.
	Cut bool
}

// RepairError says which server on a new path was the reason for a refusal.
type RepairError struct {
	Addr string
}

// Error implements error.
func (e *RepairError) Error() string {
	return "backend: a part of the new path is not there: " + e.Addr
}

// Caller makes the calls that chained engines know beside requests.
type Caller interface {
	// Report asks a server for its state; it returns ErrNoAnswer, ErrGarbled or ErrRefused.
	Report(ctx context.Context, addr string) (Report, error)
	// Place gives an order; it returns ErrStale, ErrNoAnswer or ErrRefused.
	Place(ctx context.Context, addr, id string, order PlaceOrder) error
	// Repair gives a running request a new path with the same first part; it returns a *RepairError, ErrUnknown, ErrNoAnswer
	// or ErrRefused.
	Repair(ctx context.Context, addr, requestID string, path []call.Part) error
}
