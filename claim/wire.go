package claim

// Answer carries a verdict between instances.
type Answer struct {
	Kind   AnswerKind `cbor:"1,keyasint"`
	Status int        `cbor:"2,keyasint,omitempty"`
}

// AnswerKind names the type of a verdict.
type AnswerKind uint8

// Kinds of verdicts.
const (
	AnswerGranted AnswerKind = iota + 1
	AnswerDuplicate
	AnswerReused
)

// ToAnswer returns a verdict in the form that is sent.
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

// Verdict returns the verdict, nil for a kind that is not known.
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
