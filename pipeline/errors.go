package pipeline

import (
	"fmt"

	"github.com/pkg/errors"

	"junctioncross/models"
)

// errSlow ends an attempt because a server of its path has become slow and another path exists.
var errSlow = errors.New("pipeline: a server has become slow")

// errNoPath means that no path of usable servers exists.
var errNoPath = errors.New("pipeline: no path of usable servers")

// Failure is the error of a request whose answer could not be completed; it tells the reason and whether the request may have
// run.
type Failure struct {
	reason models.Reason
	fate   models.Fate
	cause  error
}

// Reason returns the reason, which also labels a counter.
func (f *Failure) Reason() models.Reason { return f.reason }

// Fate returns whether the request may have run.
func (f *Failure) Fate() models.Fate { return f.fate }

// Unwrap returns the error that caused the failure.
func (f *Failure) Unwrap() error { return f.cause }

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("pipeline: %s (%s): %v", f.reason, f.fate, f.cause)
}

// emitError wraps an error of the emit function.
type emitError struct{ cause error }

// Error implements error.
func (e *emitError) Error() string { return "pipeline: caller disconnected: " + e.cause.Error() }
