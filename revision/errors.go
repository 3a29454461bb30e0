package revision

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Errors of this package.
var (
	// ErrNoPlan means that there is no plan with that ID.
	ErrNoPlan = errors.New("revision: no such plan")
	// ErrNoIntent means that there is no intent with that ID.
	ErrNoIntent = errors.New("revision: no such intent")
	// ErrNoUpdate means that a watch ended without a newer head.
	ErrNoUpdate = errors.New("revision: no update")
	// ErrUnavailable means that the key-value service did not answer; nothing was changed.
	ErrUnavailable = errors.New("revision: key-value service unavailable")
	// ErrOutcomeUnknown means that a confirmation may have taken effect; confirming the same plan again is safe and tells
	// the outcome.
	ErrOutcomeUnknown = errors.New("revision: outcome not known yet; confirm the same plan again")
)

// ConflictError reports that other plans have been confirmed since the revision that a plan is based on.
type ConflictError struct {
	base     Number
	head     Number
	meantime []Entry
}

// Meantime returns the confirmations after the plan's base revision, as far as the head still lists them.
func (e *ConflictError) Meantime() []Entry { return e.meantime }

// Error implements error; the text lists what the other plans changed.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "plan is based on revision %d, but revision %d is in force; changed meanwhile:", e.base, e.head)
	for _, m := range e.meantime {
		fmt.Fprintf(&b, " [revision %d by %s: %s]", m.Revision, m.Who, strings.Join(m.Changes, "; "))
	}
	return b.String()
}
