package claim

// Answer is a verdict in the form in which instances send it to each other.
type Answer struct {
	Kind   AnswerKind `cbor:"1,keyasint"`
	Status int        `cbor:"2,keyasint,omitempty"`
}

// AnswerKind is the type of a verdict in an Answer.
type AnswerKind uint8

// Kinds of verdicts.
const (
	AnswerGranted AnswerKind = iota + 1
	AnswerDuplicate
	AnswerReused
)

// ToAnswer encodes a verdict as an Answer.
func ToAnswer(v Verdict) Answer {
	switch v := v.(type) {
	case Granted:
		return Answer{Kind: AnswerGranted}
	case Reused:
		return Answer{Kind: AnswerReused}
	case Duplicate:
		return Answer{Kind: AnswerDuplicate, Status: v.Status}
	default:
		return Answer{}
	}
}

// Verdict returns the verdict that the answer encodes, or nil if its kind is unknown.
func (a Answer) Verdict() Verdict {
	switch a.Kind {
	case AnswerGranted:
		return Granted{}
	case AnswerReused:
		return Reused{}
	case AnswerDuplicate:
		return Duplicate{Status: a.Status}
	default:
		return nil
	}
}
