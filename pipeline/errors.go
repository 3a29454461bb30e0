package pipeline

import (
	"fmt"

	"junctioncross/models"
)

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
