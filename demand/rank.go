package demand

import "cmp"

// Rank says how urgent a request is, first by the priority of its client account and then by that of its route; 0 is the most
// urgent.
type Rank struct {
	Account int `cbor:"1,keyasint,omitempty"`
	Route   int `cbor:"2,keyasint,omitempty"`
}

// Compare returns a negative number if r is more urgent than other, and 0 if both are equally urgent.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Account, other.Account), cmp.Compare(r.Route, other.Route))
}
