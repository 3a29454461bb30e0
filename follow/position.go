package follow

// Position is a place in the source's sequence of changes: an era of the store, which rises by one when the store has lost what it had
// acknowledged, and a revision in it, which is given out again then. A place of a later era comes after all of earlier ones, so that positions
// compare as numbers; zero comes before all.
type Position int64

const (
	// revisionBits hold the revision; an era has what is left beside the sign.
	revisionBits = 48
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(63-revisionBits) - 1
)

// PositionOf returns the place of a revision in an era; false means that one of them is out of range.
func PositionOf(era, revision int64) (Position, bool) {
	if era < 0 || era > maxEra || revision < 0 || revision > maxRevision {
		return 0, false
	}
	return Position(era<<revisionBits | revision), true
}

// Era returns how often the store had lost what it had acknowledged, as it counts; zero where it does not.
func (p Position) Era() int64 { return int64(p >> revisionBits) }

// Revision returns the store's revision.
func (p Position) Revision() int64 { return int64(p & maxRevision) }
