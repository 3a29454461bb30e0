package control

import (
	"junctioncross/admit"
	"junctioncross/engine"
	"junctioncross/gossip"
	"junctioncross/models"
	"junctioncross/revision"
)

// Keys of gossip entries.
const (
	entryStatus   = "status"
	entryLeaving  = "leaving"
	entryMoving   = "moving"
	entryUsage    = "usage"
	prefixBackend = "backend/"
)

// InstanceStatus is what an entry instance says about itself.
type InstanceStatus struct {
	Name     string          `cbor:"1,keyasint" json:"name"`
	Domain   string          `cbor:"2,keyasint" json:"domain"`
	Addr     string          `cbor:"3,keyasint" json:"addr"`
	Revision revision.Number `cbor:"4,keyasint" json:"revision"`
	Leaving  bool            `cbor:"5,keyasint,omitempty" json:"leaving"`
	// KVAnswers counts the answers of the key-value service to this instance's watch.
	KVAnswers uint64 `cbor:"6,keyasint,omitempty" json:"heard"`
	// Demand holds the places that would serve everything that is asked for at the instance, by model.
	Demand map[string]float64 `cbor:"7,keyasint,omitempty" json:"demand,omitempty"`
	Leads  bool               `cbor:"8,keyasint,omitempty" json:"leads"`
	// SilentMS is how long nothing was heard of the instance, in milliseconds; it is filled in by the reader.
	SilentMS int64 `cbor:"9,keyasint,omitempty" json:"silent_ms"`
	// Note says why an instance could not be asked.
	Note string `cbor:"10,keyasint,omitempty" json:"note,omitempty"`
}

// backendStatus is what an instance that polls a backend server says about it.
type backendStatus struct {
	Incarnation uint64        `cbor:"1,keyasint"`
	Sequence    uint64        `cbor:"2,keyasint"`
	State       engine.State  `cbor:"3,keyasint"`
	Model       string        `cbor:"4,keyasint"`
	Version     string        `cbor:"5,keyasint"`
	Layers      models.Layers `cbor:"6,keyasint"`
	Leaving     bool          `cbor:"7,keyasint,omitempty"`
	Silent      bool          `cbor:"8,keyasint,omitempty"`
}

// equalIgnoringSequence reports whether two statements differ at most in their sequence.
func (b backendStatus) equalIgnoringSequence(o backendStatus) bool {
	b.Sequence = o.Sequence
	return b == o
}

// newer reports whether the statement is later than another one.
func (b backendStatus) newer(o backendStatus) bool {
	if b.Incarnation != o.Incarnation {
		return b.Incarnation > o.Incarnation
	}
	return b.Sequence > o.Sequence
}

// exchangeRequest opens an exchange of news.
type exchangeRequest struct {
	Digest gossip.Digest `cbor:"1,keyasint"`
}

// exchangeResponse carries what the asker lacks and how far the answerer knows.
type exchangeResponse struct {
	Updates []gossip.Update `cbor:"1,keyasint,omitempty"`
	Digest  gossip.Digest   `cbor:"2,keyasint"`
}

// updatesRequest closes an exchange.
type updatesRequest struct {
	Updates []gossip.Update `cbor:"1,keyasint"`
}

// newerHeadRequest asks an instance of another domain for a configuration above a revision.
type newerHeadRequest struct {
	Above revision.Number `cbor:"1,keyasint"`
}

// newerHeadResponse holds the head when it is newer.
type newerHeadResponse struct {
	Head *revision.Head `cbor:"1,keyasint,omitempty"`
}

// modelUsage is the usage of one model's heaviest owners on one instance.
type modelUsage struct {
	Model string        `cbor:"1,keyasint"`
	Top   []admit.Usage `cbor:"2,keyasint"`
}

// empty is the empty question or answer.
type empty struct{}
