package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/models"
	"junctioncross/placement"
)

// TestReservedServersTakeOnlyMissingLayers adds a large and a small reserved server to a domain and lets each of its other
// servers leave in turn: only the layers that are missing then are given away, to the small server if they fit.
func TestReservedServersTakeOnlyMissingLayers(t *testing.T) {
	e := engine()
	all := mixedDomain(e)
	apply(all, placement.Decide(e, all))
	newer := servers(e, "a", "mid", "tiny")
	for i := range newer {
		newer[i].ID, newer[i].Reserved = "n"+newer[i].Kind.Name, true
	}
	require.Empty(t, placement.Decide(e, append(all, newer...)), "nothing is missing")
	for i, s := range all {
		left := append(without(all, i), newer...)
		before := missing(e, left, "a")
		orders := placement.Decide(e, left)
		if before == 0 {
			require.Empty(t, orders)
			continue
		}
		apply(left, orders)
		require.Zero(t, missing(e, left, "a"))
		if s.Kind.Name == "tiny" {
			require.Len(t, orders, 1)
			require.Equal(t, "ntiny", orders[0].ID, "the larger one stays free")
		}
	}
}

// TestReservedServersFillSeveralGaps lets two servers leave at once.
func TestReservedServersFillSeveralGaps(t *testing.T) {
	e := engine()
	all := servers(e, "a", "big", "big", "big")
	apply(all, placement.Decide(e, all))
	newer := servers(e, "a", "big", "big")
	for i := range newer {
		newer[i].ID, newer[i].Reserved = "n"+newer[i].ID, true
	}
	left := append([]placement.Server{all[1]}, newer...)
	orders := placement.Decide(e, left)
	require.Len(t, orders, 2)
	apply(left, orders)
	require.Zero(t, missing(e, left, "a"))
	require.NotContains(t, []models.Layers{orders[0].Layers, orders[1].Layers}, all[1].Layers)
}

// TestSummaryReportsMemoryShortage summarizes a domain whose servers cannot hold the model.
func TestSummaryReportsMemoryShortage(t *testing.T) {
	e := engine()
	all := servers(e, "a", "big", "big")
	require.Equal(t, 80-2*placement.LayersOf(e, e.Kind("big"), 96), placement.Summary(e, all)[1].Short)
	require.Zero(t, placement.Summary(e, mixedDomain(e))[1].Short)
}
