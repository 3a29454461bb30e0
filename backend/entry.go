package backend

import (
	"junctioncross/models"
)

// Entry is the registration of a backend server in the store.
type Entry struct {
	// ID names the server. A server may have the same ID after a restart.
	ID string
	// Service is the name of the service that the server belongs to.
	Service string
	// Addr is the server's IP address and port.
	Addr string
	// Domain is the server's failure domain.
	Domain string
	// Kind is the name of the server's kind of accelerator.
	Kind string
	// Slots is the number of requests that the server runs at once; 0 means that it did not say.
	Slots int
	// Leaving means that the server takes no new work, since it is about to shut down.
	Leaving bool
	// Born is the start time of the server's process, in milliseconds since 1970; 0 means that the server did not say.
	Born int64
	// Layers is the range of layers that the server holds; it is empty when it holds none.
	Layers models.Layers
	// Revision is the position of the entry in the store's sequence of changes.
	Revision int64
}

// Incarnation returns the incarnation of the server that the entry describes.
func (e Entry) Incarnation() Incarnation { return Incarnation{ID: e.ID, Born: e.Born} }

// SameIncarnation reports whether another entry describes the same incarnation, as far as is known: the same start at the same address.
// What else an entry says may change while the server runs.
func (e Entry) SameIncarnation(other Entry) bool {
	return e.Incarnation() == other.Incarnation() && e.Addr == other.Addr
}

// Same reports whether two entries are equal apart from the revision.
func (e Entry) Same(other Entry) bool {
	e.Revision, other.Revision = 0, 0
	return e == other
}
