package follow

import "junctioncross/backend"

// FindingOutcome says what became of a finding.
type FindingOutcome string

// Outcomes of findings; they are the labels of counters.
const (
	// findingValid means that there is no outcome yet: nothing speaks against the finding so far.
	findingValid FindingOutcome = ""
	// FindingSent means that this instance made the finding and passes it on.
	FindingSent FindingOutcome = "sent"
	// FindingApplied means that the finding keeps new work away from its server.
	FindingApplied FindingOutcome = "applied"
	// FindingTakenBack means that the effect of the finding has ended early: the server has shown that the finding is wrong or over,
	// or its source is probably cut off.
	FindingTakenBack FindingOutcome = "taken back"

	droppedGarbled     FindingOutcome = "garbled"
	droppedUnknown     FindingOutcome = "unknown server"
	droppedIncarnation FindingOutcome = "other incarnation"
	droppedFuture      FindingOutcome = "from the future"
	droppedOld         FindingOutcome = "too old"
	droppedTooMany     FindingOutcome = "too many"

	// The finding is valid but has no effect: it is known already, its source is probably cut off, repeats itself or has reached a
	// limit, or the finding is over or the server has answered since.
	ignoredKnown    FindingOutcome = "known"
	ignoredCutOff   FindingOutcome = "source cut off"
	ignoredRepeated FindingOutcome = "repeated"
	ignoredLimit    FindingOutcome = "limit"
	ignoredAnswered FindingOutcome = "answered"
)

// Dropped reports whether the finding was dropped as unusable.
func (o FindingOutcome) Dropped() bool {
	switch o {
	case droppedGarbled, droppedUnknown, droppedIncarnation, droppedFuture, droppedOld, droppedTooMany:
		return true
	default:
		return false
	}
}

// validate returns why a finding is unusable, or findingValid. The server is the one that it names, or nil.
func validate(f backend.Finding, server *backend.Server) FindingOutcome {
	named := f.Server != "" && f.Source != "" && max(len(f.Server), len(f.Source), len(f.Domain)) <= maxNameLength
	switch {
	case !named || !f.Kind.Known():
		return droppedGarbled
	case f.Age < 0:
		return droppedFuture
	case f.Age > maxFindingAge:
		return droppedOld
	case server == nil:
		return droppedUnknown
	case server.Incarnation().Born != f.Born:
		return droppedIncarnation
	default:
		return findingValid
	}
}
