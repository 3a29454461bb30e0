package backend

import (
	"junctioncross/models"
)

// Entry is what a backend server says of itself.
type Entry struct {
	// ID names one start of the server; a restarted server has another.
	ID      string
	Service string
	// Addr is its IP number and port.
	Addr   string
	Domain string
	Kind   string
	Slots  int
	// Leaving servers take no new work.
	Leaving bool
	// Layers is the range of layers that the server holds; it is empty when it holds none.
	Layers models.Layers
	// Revision is the store's revision of the entry.
	Revision int64
}

// Same reports whether two entries say the same, but for the revision.
func (e Entry) Same(other Entry) bool {
	e.Revision, other.Revision = 0, 0
	return e == other
}
