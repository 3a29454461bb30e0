package relay

import "junctioncross/quarantine"

// Ends holds which servers terminated while they ran which requests. An instance that cannot write to the store passes its
// ends to the instances that it polls.
type Ends interface {
	// Unpublished returns the ends that are not yet written to the store.
	Unpublished() []quarantine.End
	// Adopt takes over ends that another instance could not write to the store.
	Adopt(ends []quarantine.End)
}
