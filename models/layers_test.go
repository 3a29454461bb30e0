package models_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/models"
)

func TestTileAcceptsOnlyConsecutiveRanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 50).Draw(t, "total")
		var ranges []models.Layers
		for at := 0; at < total; {
			end := rapid.IntRange(at+1, total).Draw(t, "end")
			ranges = append(ranges, models.Layers{First: at, End: end})
			at = end
		}
		require.True(t, models.Tile(ranges, total))
		i := rapid.IntRange(0, len(ranges)-1).Draw(t, "broken")
		invalid := append([]models.Layers(nil), ranges...)
		if rapid.Bool().Draw(t, "skip") {
			invalid = append(invalid[:i], invalid[i+1:]...)
		} else {
			invalid = append(invalid[:i+1], ranges[i:]...)
		}
		require.False(t, models.Tile(invalid, total))
	})
}
