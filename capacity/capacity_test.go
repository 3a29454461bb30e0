package capacity_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/capacity"
)

func TestPageMatchesTheFigures(t *testing.T) {
	f, err := capacity.ReadFigures("../docs/figures")
	require.NoError(t, err)
	page, err := capacity.Page(f)
	require.NoError(t, err)
	committed, err := os.ReadFile("../docs/CAPACITY.md")
	require.NoError(t, err)
	require.Equal(t, string(committed), page, "run make capacity")
}

func TestAMissingFigureIsNamed(t *testing.T) {
	f, err := capacity.ReadFigures(t.TempDir())
	require.NoError(t, err)
	_, err = capacity.Page(f)
	require.ErrorContains(t, err, "no figure")
}
