package backend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/models"
)

func holding(first, end int) backend.Entry {
	return backend.Entry{ID: "s", Layers: models.Layers{First: first, End: end}}
}

// TestAStaleServerGetsWorkOnceItsEntryNamesOtherLayers lets a server refuse work since it holds other layers than its entry says,
// and then updates the entry.
func TestAStaleServerGetsWorkOnceItsEntryNamesOtherLayers(t *testing.T) {
	now := time.Unix(100, 0)
	s := backend.NewServer(holding(0, 3))
	s.NoteStaleLayers(now)
	require.False(t, s.Usable(now))
	s.Update(holding(0, 3))
	require.False(t, s.Usable(now), "the entry says nothing new")
	s.Update(holding(3, 6))
	require.True(t, s.Usable(now), "the entry names other layers")
}

func TestAStaleServerGetsWorkAfterAWhileWithoutANewEntry(t *testing.T) {
	now := time.Unix(100, 0)
	s := backend.NewServer(holding(0, 3))
	s.NoteStaleLayers(now)
	require.False(t, s.Usable(now.Add(999*time.Millisecond)))
	require.True(t, s.Usable(now.Add(time.Second)))
}

// TestNewLayersDoNotClearOtherReasonsToLeaveAServerAlone updates the layers of a server that was set aside for another reason.
func TestNewLayersDoNotClearOtherReasonsToLeaveAServerAlone(t *testing.T) {
	now := time.Unix(100, 0)
	s := backend.NewServer(holding(0, 3))
	s.SetAside(now.Add(time.Second))
	s.Update(holding(3, 6))
	require.False(t, s.Usable(now))
}
