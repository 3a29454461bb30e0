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

func engine() *catalog.Engine {
	return &catalog.Engine{
		Layers: 16, LayerMB: 100, TokenBytes: 16 * 7000, ActivationBytes: 29500, LinkMbps: 9000, BatchSize: 192,
		Step: time.Millisecond, StepPerSequence: 4 * time.Microsecond, ReadPerSecond: 196000, UsualPrompt: 700, UsualAnswer: 200,
		Kinds: []catalog.Kind{{Name: "fast", MemoryMB: 4000, StepPace: 1, ReadPace: 1}, {Name: "slow", MemoryMB: 2000, StepPace: 10, ReadPace: 8}},
	}
}

func drawGraph(t *rapid.T) (*chain.Graph, []chain.Node) {
	e := engine()
	var nodes []chain.Node
	for i := range rapid.IntRange(0, 16).Draw(t, "servers") {
		first := rapid.IntRange(0, e.Layers-1).Draw(t, "first")
		nodes = append(nodes, chain.Node{
			Server: i, Domain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"),
			Kind:   e.Kind(rapid.SampledFrom([]string{"fast", "slow"}).Draw(t, "kind")),
			Layers: models.Layers{First: first, End: rapid.IntRange(first+1, e.Layers).Draw(t, "end")},
		})
	}
	return chain.NewGraph(e, nodes), nodes
}

func allUsable(int) bool    { return true }
func usualPace(int) float64 { return 1 }

var need = chain.Need{Prompt: 700, Tokens: 900, Domain: "a"}

// requireTiles checks that a path runs each layer once and in order, each on a server that holds it, and uses no server twice.
func requireTiles(t *rapid.T, nodes []chain.Node, hops []chain.Hop, layers int) {
	ranges := make([]models.Layers, len(hops))
	seen := map[int]bool{}
	for i, h := range hops {
		ranges[i] = h.Layers
		held := nodes[h.Server].Layers
		require.True(t, held.First <= h.Layers.First && h.Layers.End <= held.End)
		require.False(t, seen[h.Server], "a server is twice on the path")
		seen[h.Server] = true
	}
	require.True(t, models.Tile(ranges, layers))
}

func TestLanesTileTheModelAndUseNoMemoryTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, nodes := drawGraph(t)
		e := g.Engine()
		used := map[int]float64{}
		for _, l := range chain.Lanes(g, allUsable, usualPace, need) {
			requireTiles(t, nodes, l.Hops, e.Layers)
			require.Positive(t, l.Sequences)
			for _, h := range l.Hops {
				used[h.Server] += l.Sequences * float64(need.Tokens*h.Layers.Count())
				require.True(t, l.Domain == "" || nodes[h.Server].Domain == l.Domain)
			}
		}
		for server, memory := range used {
			room := chain.Room(e, nodes[server].Kind, nodes[server].Layers.Count())
			require.LessOrEqual(t, memory, room*1.0001)
		}
	})
}

func TestLanesThatCrossKeepWithinTheBandwidthBetweenDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, nodes := drawGraph(t)
		e := g.Engine()
		rates := map[[2]string]float64{}
		for _, l := range chain.Lanes(g, allUsable, usualPace, need) {
			lifetime := time.Duration(e.UsualAnswer)*l.Step + l.Read
			for i := 1; i < len(l.Hops); i++ {
				a, b := nodes[l.Hops[i-1].Server].Domain, nodes[l.Hops[i].Server].Domain
				if a != b {
					rates[[2]string{min(a, b), max(a, b)}] += l.Sequences * e.ActivationBytes * float64(need.Tokens) / lifetime.Seconds()
				}
			}
		}
		for pair, rate := range rates {
			require.LessOrEqual(t, rate*8/1e6, e.LinkMbps, "%v", pair)
		}
	})
}

type state struct {
	usable []bool
	room   []float64
}

func (s state) Usable(i int) bool     { return s.usable[i] }
func (s state) Room(i int) float64    { return s.room[i] }
func (s state) Sequences(int) float64 { return 3 }
func (s state) Penalty(int) float64   { return 1 }

func drawState(t *rapid.T, nodes []chain.Node) state {
	var s state
	for range nodes {
		s.usable = append(s.usable, rapid.Bool().Draw(t, "usable"))
		s.room = append(s.room, float64(rapid.IntRange(0, 20).Draw(t, "room"))*1000)
	}
	return s
}

func TestAChosenPathTilesTheModelOnUsableServersWithRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, nodes := drawGraph(t)
		s := drawState(t, nodes)
		p, ok := chain.Choose(g, s, need)
		if !ok {
			return
		}
		requireTiles(t, nodes, p.Hops, g.Engine().Layers)
		for _, h := range p.Hops {
			require.True(t, s.usable[h.Server])
			require.GreaterOrEqual(t, s.room[h.Server], float64(need.Tokens*h.Layers.Count()))
		}
	})
}

func TestExtendKeepsTheFirstStageAndTilesTheRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, nodes := drawGraph(t)
		s := drawState(t, nodes)
		p, ok := chain.Choose(g, state{usable: allTrue(len(nodes)), room: ampleRoom(len(nodes))}, need)
		if !ok {
			return
		}
		first := p.Hops[0]
		rest, ok := chain.Extend(g, s, need, first)
		if !ok {
			return
		}
		requireTiles(t, nodes, append([]chain.Hop{first}, rest.Hops...), g.Engine().Layers)
	})
}

func allTrue(n int) []bool {
	out := make([]bool, n)
	for i := range out {
		out[i] = true
	}
	return out
}

func ampleRoom(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1e9
	}
	return out
}

func TestSlowServerGetsNarrowerLane(t *testing.T) {
	e := engine()
	whole := models.Layers{First: 0, End: e.Layers}
	g := chain.NewGraph(e, []chain.Node{
		{Server: 0, Domain: "a", Kind: e.Kind("fast"), Layers: whole}, {Server: 1, Domain: "a", Kind: e.Kind("fast"), Layers: whole},
	})
	lanes := chain.Lanes(g, allUsable, func(i int) float64 { return float64(1 + 3*i) }, need)
	require.Len(t, lanes, 2)
	require.InDelta(t, lanes[0].Sequences, 4*lanes[1].Sequences, 1e-6)
}
