package chain_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/catalog"
	"junctioncross/chain"
	"junctioncross/models"
)

// stubState is a chain.State in which all servers are usable and have room, except those in full, which have none.
type stubState struct{ full map[int]bool }

func (stubState) Usable(int) bool       { return true }
func (stubState) Sequences(int) float64 { return 0 }
func (stubState) Penalty(int) float64   { return 1 }
func (p stubState) Room(s int) float64 {
	if p.full[s] {
		return 0
	}
	return 1e12
}

func repairEngine() *catalog.Engine {
	return &catalog.Engine{
		Layers: 12, LayerMB: 100, TokenBytes: 8000, Step: time.Millisecond, ReadPerSecond: 1e5, UsualPrompt: 100, UsualAnswer: 40,
		ActivationBytes: 29500, LinkMbps: 4000, Kinds: []catalog.Kind{{Name: "k", MemoryMB: 1000, StepPace: 1, ReadPace: 1}},
	}
}

func node(e *catalog.Engine, server int, domain string, first, end int) chain.Node {
	return chain.Node{Server: server, Domain: domain, Kind: &e.Kinds[0], Layers: models.Layers{First: first, End: end}}
}

func noJitter() float64 { return 1 }

func hop(server, first, end int) chain.Hop {
	return chain.Hop{Server: server, Layers: models.Layers{First: first, End: end}}
}

// TestRepairKeepsOtherStagesAndStaysInTheDomain loses the middle one of three servers. A much faster server is in another domain;
// the repair must use it only when its own domain has no room.
func TestRepairKeepsOtherStagesAndStaysInTheDomain(t *testing.T) {
	e := repairEngine()
	e.Kinds = append(e.Kinds, catalog.Kind{Name: "fast", MemoryMB: 1000, StepPace: 0.01, ReadPace: 0.01})
	fast := node(e, 4, "b", 0, 12)
	fast.Kind = &e.Kinds[1]
	g := chain.NewGraph(e, []chain.Node{
		node(e, 0, "a", 0, 4), node(e, 1, "a", 4, 8), node(e, 2, "a", 8, 12), node(e, 3, "a", 3, 9), fast,
	})
	r := chain.RepairRequest{
		Hops: []chain.Hop{hop(0, 0, 4), hop(1, 4, 8), hop(2, 8, 12)}, Lost: func(s int) bool { return s == 1 }, Tokens: 500,
		Jitter: noJitter,
	}
	hops, ok := chain.RepairPath(g, stubState{}, r)
	require.True(t, ok)
	require.Equal(t, []chain.Hop{hop(0, 0, 4), hop(3, 4, 8), hop(2, 8, 12)}, hops)

	hops, ok = chain.RepairPath(g, stubState{full: map[int]bool{3: true}}, r)
	require.True(t, ok)
	require.Equal(t, []chain.Hop{hop(0, 0, 4), hop(4, 4, 8), hop(2, 8, 12)}, hops, "another domain when the own domain has no room")

	_, ok = chain.RepairPath(g, stubState{full: map[int]bool{3: true, 4: true}}, r)
	require.False(t, ok)
}

// TestRepairedPathsTileTheModel repairs paths over random servers of which random ones are lost: the result must run each layer
// once, on servers that hold it, and keep the servers that are not lost.
func TestRepairedPathsTileTheModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := repairEngine()
		var nodes []chain.Node
		for s := range rapid.IntRange(4, 30).Draw(t, "servers") {
			first := rapid.IntRange(0, 11).Draw(t, "first")
			end := rapid.IntRange(first+1, 12).Draw(t, "end")
			nodes = append(nodes, node(e, s, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"), first, end))
		}
		g := chain.NewGraph(e, nodes)
		path, ok := chain.Choose(g, stubState{}, chain.Need{Prompt: 10, Tokens: 20, Domain: "a"})
		if !ok {
			return
		}
		lost := map[int]bool{}
		for _, s := range rapid.SliceOf(rapid.IntRange(0, len(nodes)-1)).Draw(t, "lost") {
			lost[s] = true
		}
		r := chain.RepairRequest{Hops: path.Hops, Lost: func(s int) bool { return lost[s] }, Tokens: 100, Jitter: noJitter}
		hops, ok := chain.RepairPath(g, stubState{}, r)
		if !ok {
			return
		}
		at, seen := 0, map[int]bool{}
		for _, h := range hops {
			require.Equal(t, at, h.Layers.First)
			require.Greater(t, h.Layers.End, h.Layers.First)
			held := nodes[h.Server].Layers
			require.True(t, held.First <= h.Layers.First && h.Layers.End <= held.End, "a server runs only layers that it holds")
			require.False(t, seen[h.Server], "no server twice")
			require.False(t, lost[h.Server])
			seen[h.Server], at = true, h.Layers.End
		}
		require.Equal(t, e.Layers, at)
		for _, h := range path.Hops {
			if !lost[h.Server] {
				require.Contains(t, hops, h, "servers that are not lost keep their layers")
			}
		}
	})
}
