package forward

import (
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/models"
)

// TestAServerWithMoreLayersThanItsEntryStaysUsable applies reports of servers that hold more layers than their entries name,
// and of servers that hold other ones.
func TestAServerWithMoreLayersThanItsEntryStaysUsable(t *testing.T) {
	h, clock := testHandler(t, nil)
	g := twoCopies()
	more, other := g.Servers()[0], g.Servers()[1]
	h.applyReport(more, backend.Report{Layers: models.Layers{First: 0, End: 5}}, nil, reasonMemory)
	require.True(t, more.Usable(clock.Now()), "it still holds the layers of all paths that its entry allows")
	h.applyReport(other, backend.Report{Layers: models.Layers{First: 5, End: 8}}, nil, reasonMemory)
	require.False(t, other.Usable(clock.Now()), "it no longer holds a layer that its entry names")
}
