package route_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/models"
	"junctioncross/route"
)

type serverState struct {
	assigned []int
	usable   []bool
}

func (s serverState) Assigned(i int) int { return s.assigned[i] }
func (s serverState) Usable(i int) bool  { return s.usable[i] }

func drawNodes(t *rapid.T, layers int) ([]route.Node, serverState) {
	var nodes []route.Node
	var s serverState
	for i := range rapid.IntRange(0, 20).Draw(t, "servers") {
		first := rapid.IntRange(0, layers-1).Draw(t, "first")
		end := rapid.IntRange(first+1, layers).Draw(t, "end")
		nodes = append(nodes, route.Node{
			Server: i, Layers: models.Layers{First: first, End: end}, Weight: rapid.Float64Range(0.5, 50).Draw(t, "weight"),
		})
		s.assigned = append(s.assigned, rapid.IntRange(0, 9).Draw(t, "assigned"))
		s.usable = append(s.usable, rapid.Bool().Draw(t, "usable"))
	}
	return nodes, s
}

// pathExists reports, by exhaustive search, whether a path of usable servers leads from a layer to the last.
func pathExists(nodes []route.Node, s serverState, at, layers int) bool {
	if at == layers {
		return true
	}
	for _, n := range nodes {
		if n.Layers.First == at && s.usable[n.Server] && pathExists(nodes, s, n.Layers.End, layers) {
			return true
		}
	}
	return false
}

func TestChooseFindsAPathOfUsableServersWheneverThereIsOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 6).Draw(t, "layers")
		nodes, s := drawNodes(t, layers)
		path, ok := route.Choose(route.NewGraph(layers, nodes), s, rand.New(rand.NewPCG(1, 1)), nil)
		require.Equal(t, pathExists(nodes, s, 0, layers), ok)
		if !ok {
			return
		}
		ranges := make([]models.Layers, len(path))
		for i, n := range path {
			require.True(t, s.usable[n.Server])
			ranges[i] = n.Layers
		}
		require.True(t, models.Tile(ranges, layers))
	})
}

func TestChooseSpreadsWorkByWeight(t *testing.T) {
	whole := models.Layers{First: 0, End: 4}
	g := route.NewGraph(4, []route.Node{{Server: 0, Layers: whole, Weight: 30}, {Server: 1, Layers: whole, Weight: 10}})
	s := serverState{assigned: []int{0, 0}, usable: []bool{true, true}}
	random := rand.New(rand.NewPCG(2, 2))
	for range 400 {
		path, ok := route.Choose(g, s, random, nil)
		require.True(t, ok)
		s.assigned[path[0].Server]++
	}
	require.InDelta(t, 300, s.assigned[0], 15)
}

// fleetGraph returns the graph of a model that is cut into segments with perSegment servers each. The benchmark's sizes reach
// beyond the fleet that is expected in two years.
func fleetGraph(segments, perSegment int) (*route.Graph, serverState) {
	var nodes []route.Node
	var s serverState
	for i := range segments * perSegment {
		first := i % segments * 10
		nodes = append(nodes, route.Node{Server: i, Layers: models.Layers{First: first, End: first + 10}, Weight: float64(10 + i%5)})
		s.assigned = append(s.assigned, i%7)
		s.usable = append(s.usable, true)
	}
	return route.NewGraph(segments*10, nodes), s
}

func TestLanesUseNoServerBeyondItsSpeedAndAllOfTheSlowestSegment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const segments = 3
		var nodes []route.Node
		speeds := [segments]float64{}
		for i := range rapid.IntRange(segments, 18).Draw(t, "servers") {
			s := i % segments
			w := float64(rapid.IntRange(1, 100).Draw(t, "weight"))
			speeds[s] += w
			nodes = append(nodes, route.Node{Server: i, Layers: models.Layers{First: 2 * s, End: 2*s + 2}, Weight: w})
		}
		used := map[int]float64{}
		total := 0.0
		for _, l := range route.NewGraph(2*segments, nodes).Lanes() {
			total += l.Rate()
			ranges := make([]models.Layers, 0, segments)
			for _, n := range l.Path() {
				used[n.Server] += l.Rate()
				ranges = append(ranges, n.Layers)
			}
			require.True(t, models.Tile(ranges, 2*segments))
		}
		for _, n := range nodes {
			require.LessOrEqual(t, used[n.Server], n.Weight+1e-3)
		}
		require.InDelta(t, min(speeds[0], speeds[1], speeds[2]), total, 1e-3)
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, per := range []int{4, 20, 80} {
		g, s := fleetGraph(4, per)
		b.Run("servers="+itoa(4*per), func(b *testing.B) {
			random := rand.New(rand.NewPCG(3, 3))
			path := make([]route.Node, 0, 8)
			var loads route.Loads = s
			b.ReportAllocs()
			for b.Loop() {
				path, _ = route.Choose(g, loads, random, path[:0])
			}
		})
	}
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + string(rune('0'+n%10))
}
