package chain

import (
	"cmp"
	"maps"
	"slices"
)

// maxDomains limits the domains that paths are chosen in and decisions are made for: the tables of a graph grow with their square, and
// decisions take tables as long as the model for each.
const maxDomains = 256

// OfLargestDomains returns those of the servers that are in the maxDomains domains with most of them. It may change the slice.
func OfLargestDomains[T any](servers []T, domain func(T) string) []T {
	count := map[string]int{}
	for _, s := range servers {
		count[domain(s)]++
	}
	if len(count) <= maxDomains {
		return servers
	}
	names := slices.SortedFunc(maps.Keys(count), func(a, b string) int {
		return cmp.Or(cmp.Compare(count[b], count[a]), cmp.Compare(a, b))
	})
	for _, name := range names[maxDomains:] {
		delete(count, name)
	}
	return slices.DeleteFunc(servers, func(s T) bool { return count[domain(s)] == 0 })
}
