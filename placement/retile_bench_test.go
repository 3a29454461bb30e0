package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/models"
)

// BenchmarkRetile retiles domains of several sizes in which one server has been lost and none can move.
func BenchmarkRetile(b *testing.B) {
	for _, size := range []int{33, 100, 300, 600} {
		e, all := bareDomain(size)
		all = slices.Delete(all, size/2, size/2+1)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				require.NotEmpty(b, retile(newCoverageMap(e, all, nil), all))
			}
		})
	}
}

// BenchmarkRetileOfCopies retiles domains that hold many copies of a model and have lost all holders of some layers.
func BenchmarkRetileOfCopies(b *testing.B) {
	e := lossCases()["copies"].engine
	for _, size := range []int{33, 100, 300, 600} {
		var all []Server
		for i := range size {
			first := 4 * (i % 19)
			if first >= 40 {
				first += 4
			}
			held := models.Layers{First: first, End: first + 4}
			all = append(all, Server{ID: fmt.Sprintf("%03d", i), Domain: "d", Kind: e.Kind("k"), Layers: held, Settled: true})
		}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				require.NotEmpty(b, retile(newCoverageMap(e, all, nil), all))
			}
		})
	}
}

// BenchmarkRetileOfWholeDomains asks for a domain that lacks nothing.
func BenchmarkRetileOfWholeDomains(b *testing.B) {
	e, all := bareDomain(600)
	c := newCoverageMap(e, all, nil)
	for b.Loop() {
		require.Empty(b, retile(c, all))
	}
}
