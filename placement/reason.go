package placement

// Reason says why a server gets an order.
type Reason string

// The reasons for orders.
const (
	// ReasonFill means that an empty server gets layers.
	ReasonFill Reason = "fill"
	// ReasonReplace means that a reserved empty server gets layers that its domain lacks.
	ReasonReplace Reason = "replace"
	// ReasonMove means that a server gives up all of its layers for others.
	ReasonMove Reason = "move"
	// ReasonRetile means that the range of a server shifts or grows; it keeps part of its layers.
	ReasonRetile Reason = "retile"
)

// ReasonFor returns the reason for which a server, as it is before the order, gets the order.
func ReasonFor(s *Server, o Order) Reason {
	switch {
	case s.Layers.Count() == 0 && s.Reserved:
		return ReasonReplace
	case s.Layers.Count() == 0:
		return ReasonFill
	case common(s.Layers, o.Layers) == 0:
		return ReasonMove
	default:
		return ReasonRetile
	}
}
