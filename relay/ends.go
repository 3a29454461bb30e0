package relay

import "junctioncross/quarantine"

// Ends holds which servers terminated while they ran which requests. An instance that cannot write to the store passes its
// ends to the instances that it polls. While none can, relays pass them to each other and to the instances of their domains.
type Ends interface {
	// Unpublished returns the ends that are not yet written to the store.
	Unpublished() []quarantine.End
	// Adopt takes over ends that another instance could not write to the store.
	Adopt(ends []quarantine.End)
	// Hear takes note of ends that others will write to the store.
	Hear(ends []quarantine.End)
}

// receiveEnds takes note of the ends in a relay's answer. A relay adopts them, so that it passes them on to its domain.
func (s *Source) receiveEnds(ends []quarantine.End) {
	if len(ends) == 0 {
		return
	}
	if s.isRelay() {
		s.ends.Adopt(ends)
		return
	}
	s.ends.Hear(ends)
}
