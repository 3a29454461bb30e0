package admission

import "junctioncross/demand"

// Try says which try of its caller a request is.
type Try int

// The tries of callers.
const (
	// FirstTry is the request of a caller that was not refused before.
	FirstTry Try = iota
	// Returned is the request of a caller that was refused before.
	Returned
	// Resumed is a request that goes on with a stream that has begun; it is always admitted.
	Resumed
)

// Decision is what is decided for a request: Admitted or Refused.
type Decision interface{ decision() }

// Admitted means that the request may look for room.
type Admitted struct{}

// Refused means that the request is not to look for room.
type Refused struct {
	// Reason says what the room is kept for.
	Reason Reason
	// Rank is the rank of the request, and Level the share of such requests that is admitted.
	Rank  demand.Rank
	Level float64
}

func (Admitted) decision() {}
func (Refused) decision()  {}

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonRank means that the room is kept for more urgent requests, or for others of the same rank.
	ReasonRank Reason = "rank"
	// ReasonAccount means that the account has its fair part of the room.
	ReasonAccount Reason = "account"
	// ReasonCeiling means that an operator limits the part of the room.
	ReasonCeiling Reason = "ceiling"
)
