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

// TestAStaleServerGetsWorkOnceItsEntryNamesOtherLayers lets a server turn work away since it was moved, and its entry follow.
func TestAStaleServerGetsWorkOnceItsEntryNamesOtherLayers(t *testing.T) {
	now := time.Unix(100, 0)
	s := backend.NewServer(holding(0, 3))
	s.WasStale(now)
	require.False(t, s.Usable(now))
	s.Update(holding(0, 3))
	require.False(t, s.Usable(now), "the entry tells nothing new")
	s.Update(holding(3, 6))
	require.True(t, s.Usable(now), "the entry tells what it holds now")
}

func TestAStaleServerGetsWorkAfterAWhileWithoutANewEntry(t *testing.T) {
	now := time.Unix(100, 0)
	s := backend.NewServer(holding(0, 3))
	s.WasStale(now)
	require.False(t, s.Usable(now.Add(999*time.Millisecond)))
	require.True(t, s.Usable(now.Add(time.Second)))
}

// TestNewLayersDoNotClearOtherReasonsToLeaveAServerAlone lets a full server tell other layers.
func TestNewLayersDoNotClearOtherReasonsToLeaveAServerAlone(t *testing.T) {
	now := time.Unix(100, 0)
	s := backend.NewServer(holding(0, 3))
	s.SetAside(now.Add(time.Second))
	s.Update(holding(3, 6))
	require.False(t, s.Usable(now))
}
