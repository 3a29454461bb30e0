package placement

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/catalog"
	"junctioncross/models"
)

// TestAChangeIsMadeOnlyIfItsGainOutweighsItsCost weighs missing layers against layers that are loaded and streams that are cut.
func TestAChangeIsMadeOnlyIfItsGainOutweighsItsCost(t *testing.T) {
	require.True(t, change{gain: missingInDomain, loaded: 20, cut: 1}.worthwhile(), "one server covers one layer")
	require.False(t, change{gain: missingInDomain, loaded: 20, cut: 7}.worthwhile(), "seven servers move for one layer")
	require.False(t, change{gain: missingInDomain, loaded: 60}.worthwhile(), "most of a model is loaded for one layer")
	require.False(t, change{}.worthwhile(), "nothing changes")
	require.True(t, change{gain: missingInDomain + 30*wholeCopyValue, loaded: 60, cut: 30}.worthwhile(),
		"a domain of 30 servers gets a whole copy")
}

// TestTheSafestServerMovesFirst lacks one layer that several servers could cover: the one must move whose layers all have two
// other holders, although another one is listed before it and would gain as much.
func TestTheSafestServerMovesFirst(t *testing.T) {
	e := &catalog.Engine{
		Layers: 12, LayerMB: 100, TokenBytes: 8000, UsualPrompt: 100, UsualAnswer: 40,
		Kinds: []catalog.Kind{{Name: "k", MemoryMB: 1000, StepPace: 1, ReadPace: 1}},
	}
	var all []Server
	for i, first := range []int{0, 0, 4, 4, 4} {
		held := models.Layers{First: first, End: first + 4}
		all = append(all, Server{ID: string(rune('a' + i)), Domain: "d", Kind: e.Kind("k"), Layers: held, Settled: true})
	}
	orders := move(newCoverageMap(e, all, nil), all)
	require.Len(t, orders, 1)
	require.Contains(t, []string{"c", "d", "e"}, orders[0].ID)
	require.Equal(t, models.Layers{First: 8, End: 12}, orders[0].Layers)
}

// TestFewServersChangeForThreeThatAreLost loses three servers at a time, for good, of a domain that has none to spare: part of the
// others may change, and the missing layers must be covered by the second step.
func TestFewServersChangeForThreeThatAreLost(t *testing.T) {
	e := &catalog.Engine{
		Layers: 80, LayerMB: 100, TokenBytes: 800000, UsualPrompt: 100, UsualAnswer: 40,
		Kinds: []catalog.Kind{{Name: "k", MemoryMB: 800, StepPace: 1, ReadPace: 1}},
	}
	full := make([]Server, 28)
	for i := range full {
		full[i] = Server{ID: string(rune('A' + i)), Domain: "d", Kind: e.Kind("k"), Settled: true}
	}
	carryOut(full, Decide(e, full))
	for lost := range full {
		all := slices.Delete(slices.Clone(full), lost, lost+1)
		for _, other := range []int{5, 13} {
			all = slices.Delete(all, (lost+other)%len(all), (lost+other)%len(all)+1)
		}
		given, steps := 0, 0
		for range 40 {
			if hasMissing(newCoverageMap(e, all, nil).ofDomain("d")) {
				steps++
			}
			orders := Decide(e, all)
			given += len(orders)
			carryOut(all, orders)
		}
		require.False(t, hasMissing(newCoverageMap(e, all, nil).ofDomain("d")))
		require.LessOrEqual(t, given, 20, "lost %d", lost)
		require.LessOrEqual(t, steps, 2, "lost %d", lost)
	}
}

// carryOut sets the layers of servers as their orders say.
func carryOut(all []Server, orders []Order) {
	for _, o := range orders {
		i := slices.IndexFunc(all, func(s Server) bool { return s.ID == o.ID })
		all[i].Layers = o.Layers
	}
}
