package follow

// Position is a place in the source's sequence of changes: an era of the store, which rises by one when the store has
// lost acknowledged writes, and a revision in that era. Revisions that were lost are assigned again in the next era.
// Positions of a later era compare greater than all of earlier ones; zero comes before all.
type Position int64

const (
	// revisionBits is the number of bits for the revision; the era has the remaining ones except the sign bit.
	revisionBits = 48
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(63-revisionBits) - 1
)

// PositionOf returns the Position of a revision in an era; false means that one of them is out of range.
func PositionOf(era, revision int64) (Position, bool) {
	if era < 0 || era > maxEra || revision < 0 || revision > maxRevision {
		return 0, false
	}
	return Position(era<<revisionBits | revision), true
}

// Era returns how often the store had lost acknowledged writes by its own count, zero if it does not count them.
func (p Position) Era() int64 { return int64(p >> revisionBits) }

// Revision returns the store's revision.
func (p Position) Revision() int64 { return int64(p & maxRevision) }
