package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/catalog"
	"junctioncross/models"
	"junctioncross/placement"
)

func engine() *catalog.Engine {
	return &catalog.Engine{
		Layers: 80, LayerMB: 1750, TokenBytes: 590000, Step: time.Millisecond, ReadPerSecond: 196000,
		UsualPrompt: 772, UsualAnswer: 172, LoadTime: 14 * time.Second,
		Kinds: []catalog.Kind{
			{Name: "big", MemoryMB: 72000, StepPace: 1.4, ReadPace: 1},
			{Name: "mid", MemoryMB: 36000, StepPace: 3.1, ReadPace: 3.2},
			{Name: "small", MemoryMB: 21600, StepPace: 16, ReadPace: 8.2},
			{Name: "tiny", MemoryMB: 14400, StepPace: 15, ReadPace: 15},
		},
	}
}

func servers(e *catalog.Engine, domain string, kinds ...string) []placement.Server {
	var out []placement.Server
	for i, k := range kinds {
		out = append(out, placement.Server{ID: fmt.Sprintf("%s%02d", domain, i), Domain: domain, Kind: e.Kind(k), Settled: true})
	}
	return out
}

// apply sets the layers of servers as their orders say.
func apply(all []placement.Server, orders []placement.Order) {
	for _, o := range orders {
		for i := range all {
			if all[i].ID == o.ID {
				all[i].Layers = o.Layers
			}
		}
	}
}

// missing returns the number of layers without a holder in the domain.
func missing(e *catalog.Engine, all []placement.Server, domain string) int {
	held := make([]bool, e.Layers)
	for _, s := range all {
		if s.Domain == domain {
			for l := s.Layers.First; l < s.Layers.End; l++ {
				held[l] = true
			}
		}
	}
	n := 0
	for _, h := range held {
		if !h {
			n++
		}
	}
	return n
}

// without returns all servers but one.
func without(all []placement.Server, i int) []placement.Server {
	return append(append([]placement.Server(nil), all[:i]...), all[i+1:]...)
}

func overlap(a, b models.Layers) models.Layers {
	return models.Layers{First: max(a.First, b.First), End: max(min(a.End, b.End), max(a.First, b.First))}
}

// mixedDomain returns the servers of domain a: many slow ones and two of a faster kind.
func mixedDomain(e *catalog.Engine) []placement.Server {
	return servers(e, "a", "mid", "mid", "small", "small", "small", "small", "tiny", "tiny", "tiny", "tiny", "tiny", "tiny", "tiny")
}

func TestEachDomainWithEnoughMemoryGetsAWholeCopy(t *testing.T) {
	e := engine()
	all := append(mixedDomain(e), servers(e, "b", "big", "mid", "small", "small", "small", "small", "small", "tiny", "tiny", "tiny")...)
	apply(all, placement.Decide(e, all))
	require.Zero(t, missing(e, all, "a"))
	require.Zero(t, missing(e, all, "b"))
	require.Empty(t, placement.Decide(e, all), "all layers are placed")
}

func TestNoServerIsOrderedToHoldMoreThanFits(t *testing.T) {
	e := engine()
	rapid.Check(t, func(t *rapid.T) {
		var kinds []string
		for range rapid.IntRange(1, 30).Draw(t, "servers") {
			kinds = append(kinds, rapid.SampledFrom([]string{"big", "mid", "small", "tiny"}).Draw(t, "kind"))
		}
		all := servers(e, "a", kinds...)
		for _, o := range placement.Decide(e, all) {
			for _, s := range all {
				if s.ID == o.ID {
					require.LessOrEqual(t, float64(o.Layers.Count())*e.LayerMB, s.Kind.MemoryMB)
				}
			}
			require.GreaterOrEqual(t, o.Layers.First, 0)
			require.LessOrEqual(t, o.Layers.End, e.Layers)
		}
	})
}

// TestMissingLayersAreFilledByRedundantServersOnly loses each server of a domain in turn; a move must not leave other layers
// without a holder.
func TestMissingLayersAreFilledByRedundantServersOnly(t *testing.T) {
	e := engine()
	full := mixedDomain(e)
	apply(full, placement.Decide(e, full))
	for lost := range full {
		all := without(full, lost)
		before := missing(e, all, "a")
		for range 5 {
			orders := placement.Decide(e, all)
			for _, o := range orders {
				require.True(t, o.Moves)
				for i := range all {
					if all[i].ID == o.ID {
						// While it loads, a moving server serves only the layers that it holds before and after.
						moving := append([]placement.Server(nil), all...)
						moving[i].Layers = overlap(all[i].Layers, o.Layers)
						require.Equal(t, missing(e, all, "a"), missing(e, moving, "a"), "%s drops the only copy of a layer", o.ID)
					}
				}
			}
			apply(all, orders)
		}
		require.LessOrEqual(t, missing(e, all, "a"), before)
	}
}

func TestAServerThatComesBackTakesWhatIsMissing(t *testing.T) {
	e := engine()
	all := mixedDomain(e)
	apply(all, placement.Decide(e, all))
	all[2].Layers = models.Layers{}
	orders := placement.Decide(e, all)
	require.Len(t, orders, 1)
	require.False(t, orders[0].Moves)
	apply(all, orders)
	require.Zero(t, missing(e, all, "a"))
}

// TestDomainThatLostServersForGoodIsRetiled removes servers until none can be spared, and applies orders until none are
// left; no layer may lose its last holder on the way.
func TestDomainThatLostServersForGoodIsRetiled(t *testing.T) {
	e := engine()
	rapid.Check(t, func(t *rapid.T) {
		all := mixedDomain(e)
		apply(all, placement.Decide(e, all))
		for range rapid.IntRange(1, 3).Draw(t, "lost") {
			i := rapid.IntRange(2, len(all)-1).Draw(t, "server")
			all = without(all, i)
		}
		for range 60 {
			orders := placement.Decide(e, all)
			if len(orders) == 0 {
				break
			}
			before := missing(e, all, "a")
			apply(all, orders)
			require.LessOrEqual(t, missing(e, all, "a"), before)
		}
		require.Empty(t, placement.Decide(e, all))
		require.Zero(t, missing(e, all, "a"))
	})
}

// TestPinnedServersAreNotMoved loses servers of a domain whose entries may still come back, so that all others are pinned.
func TestPinnedServersAreNotMoved(t *testing.T) {
	e := engine()
	full := mixedDomain(e)
	apply(full, placement.Decide(e, full))
	for lost := range full {
		all := without(full, lost)
		for i := range all {
			all[i].Pinned = true
		}
		require.Empty(t, placement.Decide(e, all))
	}
}

// TestFastServersHoldDifferentLayers fills a domain whose fast servers can hold nearly the whole model.
func TestFastServersHoldDifferentLayers(t *testing.T) {
	e := engine()
	all := servers(e, "a", "tiny", "small", "big", "tiny", "big", "small", "mid", "small")
	apply(all, placement.Decide(e, all))
	require.Zero(t, missing(e, all, "a"))
	var fast []placement.Server
	held := 0
	for _, s := range all {
		if s.Kind.Name == "big" || s.Kind.Name == "mid" {
			fast = append(fast, s)
			held += s.Layers.Count()
		}
	}
	require.Equal(t, e.Layers-missing(e, fast, "a"), held, "no layer is held by two fast servers")
	require.GreaterOrEqual(t, held, 60)
}

// TestStandbyServerHoldsMoreLayersWithLessRoom adds a slow server to a domain that has a whole copy.
func TestStandbyServerHoldsMoreLayersWithLessRoom(t *testing.T) {
	e := engine()
	all := servers(e, "a", "big", "big", "big")
	apply(all, placement.Decide(e, all))
	require.Zero(t, missing(e, all, "a"))
	extra := servers(e, "a", "small", "small", "small", "small")[3]
	orders := placement.Decide(e, append(all, extra))
	require.Len(t, orders, 1)
	require.Greater(t, orders[0].Layers.Count(), placement.LayersOf(e, extra.Kind, 96))
}

// TestServersOfAnotherWholeCopyAreNoStandbys fills a domain with memory for two and a half copies: only servers of the half
// copy may be standbys.
func TestServersOfAnotherWholeCopyAreNoStandbys(t *testing.T) {
	e := engine()
	all := servers(e, "a", "big", "big", "big", "big", "big", "big", "small", "small", "small", "small")
	apply(all, placement.Decide(e, all))
	usual := placement.LayersOf(e, e.Kind("big"), 96)
	for _, s := range all[:6] {
		require.Equal(t, usual, s.Layers.Count(), "the fast servers are no standbys")
	}
	wide := 0
	for _, s := range all[6:] {
		if s.Layers.Count() > placement.LayersOf(e, s.Kind, 96) {
			wide++
		}
	}
	require.Positive(t, wide, "servers beyond whole copies are standbys")
}

// TestKindsThatReadPromptsSlowlyArePlacedLater fills a domain with two kinds of nearly the same step time, one of which
// reads prompts half as fast.
func TestKindsThatReadPromptsSlowlyArePlacedLater(t *testing.T) {
	e := engine()
	all := servers(e, "a", "tiny", "tiny", "small", "small")
	apply(all, placement.Decide(e, all))
	for _, s := range all {
		if s.Kind.Name == "small" {
			require.Less(t, s.Layers.First, 16, "the kind that reads faster is placed first")
		} else {
			require.GreaterOrEqual(t, s.Layers.First, 16)
		}
	}
}
