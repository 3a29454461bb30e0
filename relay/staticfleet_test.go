package relay

import "junctioncross/membership"

// staticFleet is a Fleet that does not change.
type staticFleet []membership.Instance

// Members implements Fleet.
func (k staticFleet) Members() []membership.Instance { return k }

// Records implements Fleet.
func (k staticFleet) Records() []membership.Record {
	out := make([]membership.Record, len(k))
	for i, m := range k {
		out[i] = membership.Record{Instance: m}
	}
	return out
}

// Instances implements Fleet.
func (k staticFleet) Instances() int { return len(k) }

// Empty implements Fleet.
func (k staticFleet) Empty() bool { return len(k) == 0 }

// Changed implements Fleet.
func (staticFleet) Changed() <-chan struct{} { return nil }

// Counts implements Fleet.
func (staticFleet) Counts() map[string]int { return nil }

// NoteCounts implements Fleet.
func (staticFleet) NoteCounts(map[string]int) {}

// Key implements Fleet.
func (staticFleet) Key() []byte { return []byte("k") }
