package backend

import (
	"junctioncross/models"
)

// Entry is what a backend server says of itself.
type Entry struct {
	// ID names the server; one that starts again may do so under its former id.
	ID      string
	Service string
	// Addr is its IP number and port.
	Addr   string
	Domain string
	Kind   string
	Slots  int
	// Leaving servers take no new work.
	Leaving bool
	// Born is the moment of this start in milliseconds since 1970; 0 means that the server does not tell.
	Born int64
	// Layers is the range of layers that the server holds; it is empty when it holds none.
	Layers models.Layers
	// Revision is the entry's place in the sequence of changes.
	Revision int64
}

// Incarnation returns which start of the server the entry tells of.
func (e Entry) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }

// SameStart reports whether another entry can be of the same start: what changes only with a start is as it was.
func (e Entry) SameStart(other Entry) bool {
	return e.Incarnation() == other.Incarnation() && e.Service == other.Service && e.Addr == other.Addr && e.Domain == other.Domain &&
		e.Kind == other.Kind && e.Slots == other.Slots
}

// Same reports whether two entries say the same, but for the revision.
func (e Entry) Same(other Entry) bool {
	e.Revision, other.Revision = 0, 0
	return e == other
}
