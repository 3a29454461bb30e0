package census

import "sync/atomic"

// Board shows what the records told last.
type Board struct {
	roll atomic.Pointer[Roll]
}

// NewBoard returns a Board on which nobody is counted yet.
func NewBoard() *Board {
	b := &Board{}
	b.roll.Store(&Roll{})
	return b
}

// Instances returns the number of instances; it is Unknown before the first count.
func (b *Board) Instances() int {
	if n := len(b.Members()); n > 0 {
		return n
	}
	return Unknown
}

// Members returns the instances that were counted last; it is empty before the first count.
func (b *Board) Members() []Instance { return b.roll.Load().Members }

// Key returns what the instances prove themselves with to each other; it is empty while it is not known.
func (b *Board) Key() []byte { return b.roll.Load().Key }
