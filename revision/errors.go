package revision

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// Errors of this layer.
var (
	// ErrNoPlan means that there is no plan of that id.
	ErrNoPlan = errors.New("revision: no such plan")
	// ErrNoIntent means that there is no intent of that id.
	ErrNoIntent = errors.New("revision: no such intent")
	// ErrNoNews means that a watch ended without a newer head.
	ErrNoNews = errors.New("revision: no news")
	// ErrUnavailable means that the key-value service did not answer; nothing was changed.
	ErrUnavailable = errors.New("revision: key-value service unavailable")
	// ErrUnsure means that a confirmation may have taken effect; confirming the same plan again settles it.
	ErrUnsure = errors.New("revision: outcome not known yet; confirm the same plan again")
)

// ConflictError says that other confirmations came between a plan and its own.
type ConflictError struct {
	base     Number
	head     Number
	meantime []Entry
}

// Meantime returns the confirmations that came in between.
func (e *ConflictError) Meantime() []Entry { return e.meantime }

// Error says what changed meanwhile.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "plan is based on revision %d, but revision %d is in force; changed meanwhile:", e.base, e.head)
	for _, m := range e.meantime {
		fmt.Fprintf(&b, " [revision %d by %s: %s]", m.Revision, m.Who, strings.Join(m.Changes, "; "))
	}
	return b.String()
}
