package models_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/models"
)

func TestTileAcceptsExactlyTheCutsOfAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 50).Draw(t, "total")
		var cuts []models.Layers
		for at := 0; at < total; {
			end := rapid.IntRange(at+1, total).Draw(t, "end")
			cuts = append(cuts, models.Layers{First: at, End: end})
			at = end
		}
		require.True(t, models.Tile(cuts, total))
		i := rapid.IntRange(0, len(cuts)-1).Draw(t, "broken")
		broken := append([]models.Layers(nil), cuts...)
		if rapid.Bool().Draw(t, "skip") {
			broken = append(broken[:i], broken[i+1:]...)
		} else {
			broken = append(broken[:i+1], cuts[i:]...)
		}
		require.False(t, models.Tile(broken, total))
	})
}
