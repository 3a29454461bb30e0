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

// InstanceStatus is what an entry instance publishes about itself.
type InstanceStatus struct {
	Name     string          `cbor:"1,keyasint" json:"name"`
	Domain   string          `cbor:"2,keyasint" json:"domain"`
	Addr     string          `cbor:"3,keyasint" json:"addr"`
	Revision revision.Number `cbor:"4,keyasint" json:"revision"`
	Leaving  bool            `cbor:"5,keyasint,omitempty" json:"leaving"`
	// KVAnswers is the number of answers that the instance has received from the key-value service.
	KVAnswers uint64 `cbor:"6,keyasint,omitempty" json:"heard"`
	// Demand holds the number of slots that would serve all requests that arrive at the instance, by model.
	Demand map[string]float64 `cbor:"7,keyasint,omitempty" json:"demand,omitempty"`
	Leads  bool               `cbor:"8,keyasint,omitempty" json:"leads"`
	// SilentMS is the time since the last update from the instance, in milliseconds; the reader fills it in.
	SilentMS int64 `cbor:"9,keyasint,omitempty" json:"silent_ms"`
	// Note says why the status of an instance could not be read.
	Note string `cbor:"10,keyasint,omitempty" json:"note,omitempty"`
}

// backendStatus is what an instance that polls a backend server publishes about it.
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

// equalIgnoringSequence reports whether two statuses differ in nothing but their sequence numbers.
func (b backendStatus) equalIgnoringSequence(o backendStatus) bool {
	b.Sequence = o.Sequence
	return b == o
}

// newer reports whether the status is later than another one, by incarnation and sequence.
func (b backendStatus) newer(o backendStatus) bool {
	if b.Incarnation != o.Incarnation {
		return b.Incarnation > o.Incarnation
	}
	return b.Sequence > o.Sequence
}

// exchangeRequest opens an exchange of updates.
type exchangeRequest struct {
	Digest gossip.Digest `cbor:"1,keyasint"`
}

// exchangeResponse carries the updates that the caller lacks, and the callee's own digest.
type exchangeResponse struct {
	Updates []gossip.Update `cbor:"1,keyasint,omitempty"`
	Digest  gossip.Digest   `cbor:"2,keyasint"`
}

// updatesRequest closes an exchange with the updates that the callee lacks.
type updatesRequest struct {
	Updates []gossip.Update `cbor:"1,keyasint"`
}

// newerHeadRequest requests a configuration with a higher revision from an instance of another domain.
type newerHeadRequest struct {
	Above revision.Number `cbor:"1,keyasint"`
}

// newerHeadResponse holds the head if it is newer.
type newerHeadResponse struct {
	Head *revision.Head `cbor:"1,keyasint,omitempty"`
}

// modelUsage is the usage of a model by the owners that use it most on one instance.
type modelUsage struct {
	Model string        `cbor:"1,keyasint"`
	Top   []admit.Usage `cbor:"2,keyasint"`
}

// empty is an empty request or response.
type empty struct{}
