package models

import "fmt"

// Layers is a half-open range [First, End) of a model's layers.
type Layers struct {
	First int `cbor:"1,keyasint" json:"first"`
	End   int `cbor:"2,keyasint" json:"end"`
}

// Count returns the number of layers in the range.
func (l Layers) Count() int { return l.End - l.First }

// String returns the range in interval notation.
func (l Layers) String() string { return fmt.Sprintf("[%d,%d)", l.First, l.End) }

// Holds reports whether every layer of another range is in this one.
func (l Layers) Holds(other Layers) bool { return l.First <= other.First && other.End <= l.End }

// Tile reports whether the ranges are in order and cover [0, total) without a gap or an overlap.
func Tile(ranges []Layers, total int) bool {
	next := 0
	for _, r := range ranges {
		if r.First != next || r.End <= r.First {
			return false
		}
		next = r.End
	}
	return next == total
}
