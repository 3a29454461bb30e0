package plan_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/intent"
	"junctioncross/models"
	"junctioncross/plan"
)

func drawDocument(t *rapid.T) *intent.Document {
	d := &intent.Document{}
	for i := range rapid.IntRange(1, 3).Draw(t, "models") {
		name := fmt.Sprint("m", i)
		d.Models = append(d.Models, intent.Model{Name: name, Layers: rapid.IntRange(1, 24).Draw(t, "layers"), Version: "v"})
		d.Groups = append(d.Groups, intent.Group{Name: fmt.Sprint("g", i), Weight: rapid.Float64Range(0.5, 4).Draw(t, "weight"), Models: []string{name}})
	}
	for i := range 5 {
		d.Kinds = append(d.Kinds, intent.Kind{
			Name: fmt.Sprint("k", i), LayerMicros: float64(100 * (i + 1)), SequenceMicros: 5, MaxBatch: 16 - 2*i,
			MaxLayers: rapid.IntRange(2, 24).Draw(t, "max layers"),
		})
	}
	for i := range rapid.IntRange(0, 20).Draw(t, "servers") {
		d.Backends = append(d.Backends, intent.Backend{
			Name: fmt.Sprintf("s%02d", i), Domain: fmt.Sprint("d", i%2), Kind: fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "kind")),
			Retiring: rapid.IntRange(0, 5).Draw(t, "retiring") == 0,
		})
	}
	return d
}

// TestPlacedLayersTileTheirModelInEachDomain also checks that no server gets more layers than it can hold and that placing a
// second time changes nothing.
func TestPlacedLayersTileTheirModelInEachDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		placed, _ := plan.Place(drawDocument(t))
		cuts := map[string]map[models.Layers]bool{}
		for _, b := range placed.Backends {
			if b.Model == "" {
				continue
			}
			require.False(t, b.Retiring)
			require.LessOrEqual(t, b.Layers.Count(), placed.Kind(b.Kind).MaxLayers)
			key := b.Domain + "/" + b.Model
			if cuts[key] == nil {
				cuts[key] = map[models.Layers]bool{}
			}
			cuts[key][b.Layers] = true
		}
		for key, set := range cuts {
			next := 0
			for len(set) > 0 {
				found := false
				for l := range set {
					if l.First == next {
						next, found = l.End, true
						delete(set, l)
					}
				}
				require.True(t, found, "%s: nothing begins at layer %d", key, next)
			}
			require.Equal(t, placed.Model(key[len("d0/"):]).Layers, next)
		}
		again, _ := plan.Place(placed)
		require.Equal(t, placed.Backends, again.Backends)
	})
}

// uniformDocument returns a document with one model, and servers of one kind in one domain that hold no layers yet.
func uniformDocument(layers, maxLayers, servers int) *intent.Document {
	d := &intent.Document{
		Models: []intent.Model{{Name: "m", Layers: layers, Version: "v"}},
		Groups: []intent.Group{{Name: "g", Weight: 1, Models: []string{"m"}}},
		Kinds:  []intent.Kind{{Name: "k", LayerMicros: 100, SequenceMicros: 5, MaxBatch: 8, MaxLayers: maxLayers}},
	}
	for i := range servers {
		d.Backends = append(d.Backends, intent.Backend{Name: fmt.Sprint("s", i), Domain: "d", Kind: "k"})
	}
	return d
}

func TestNoSegmentDependsOnOneServerWhereThereAreEnough(t *testing.T) {
	d := uniformDocument(24, 8, 6)
	placed, _ := plan.Place(d)
	counts := map[models.Layers]int{}
	for _, b := range placed.Backends {
		counts[b.Layers]++
	}
	for l, n := range counts {
		require.Greater(t, n, 1, "layers %s", l)
	}
}

func TestANewServerJoinsTheSlowestSegmentAndOthersStay(t *testing.T) {
	d := uniformDocument(8, 4, 4)
	before, _ := plan.Place(d)
	after, problems := intent.Apply(before, []intent.Change{&intent.AddBackend{Backend: intent.Backend{Name: "s4", Domain: "d", Kind: "k"}}})
	require.Empty(t, problems)
	after, effects := plan.Place(after)
	require.NotEmpty(t, effects)
	counts := map[models.Layers]int{}
	for i, b := range after.Backends {
		counts[b.Layers]++
		if i < 4 {
			require.Equal(t, before.Backends[i], b)
		}
	}
	require.Equal(t, map[models.Layers]int{{First: 0, End: 4}: 3, {First: 4, End: 8}: 2}, counts)
}
