package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the names in the order in which they are responsible for a subject, by rendezvous hashing: every instance that
// knows the same names computes the same order, and adding or removing a name does not change the order of the others.
func Rank(names []string, subject string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, n := range names {
		all[i] = scored{name: n, score: xxhash.Sum64String(subject + "\x00" + n)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].name < all[j].name
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.name
	}
	return out
}

// Position returns the index of name in the order that Rank returns for a subject, or -1 if it is not among the names.
func Position(names []string, subject, name string) int {
	for i, n := range Rank(names, subject) {
		if n == name {
			return i
		}
	}
	return -1
}

// Neighbours returns the members with which an instance exchanges updates: those at distances of powers of two on the ring of
// hashed names, so that an update reaches all members in a number of hops that grows with the logarithm of their number. For an
// instance that is not among the names it returns all of them.
func Neighbours(names []string, self string) []string {
	ring := Rank(names, "ring")
	at := -1
	for i, n := range ring {
		if n == self {
			at = i
		}
	}
	if at < 0 {
		return ring
	}
	var out []string
	for d := 1; d < len(ring); d *= 2 {
		out = append(out, ring[(at+d)%len(ring)])
	}
	return out
}
