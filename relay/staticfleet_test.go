package relay

import "junctioncross/census"

// known is a Fleet that does not change.
type known []census.Instance

// Members implements Fleet.
func (k known) Members() []census.Instance { return k }

// Records implements Fleet.
func (k known) Records() []census.Record {
	out := make([]census.Record, len(k))
	for i, m := range k {
		out[i] = census.Record{Instance: m}
	}
	return out
}

// Instances implements Fleet.
func (k known) Instances() int { return len(k) }

// Empty implements Fleet.
func (k known) Empty() bool { return len(k) == 0 }

// Changed implements Fleet.
func (known) Changed() <-chan struct{} { return nil }

// Counts implements Fleet.
func (known) Counts() map[string]int { return nil }

// NoteCounts implements Fleet.
func (known) NoteCounts(map[string]int) {}

// Key implements Fleet.
func (known) Key() []byte { return []byte("k") }
