package pipeline

import (
	"fmt"

	"junctioncross/models"
)

// Failure says why an answer could not be completed and what is known about the request's run.
type Failure struct {
	reason models.Reason
	fate   models.Fate
	cause  error
}

// Reason returns the reason, which is also a counter.
func (f *Failure) Reason() models.Reason { return f.reason }

// Fate returns what is known about the run.
func (f *Failure) Fate() models.Fate { return f.fate }

// Unwrap returns the error of the layer below.
func (f *Failure) Unwrap() error { return f.cause }

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("pipeline: %s (%s): %v", f.reason, f.fate, f.cause)
}
