package forward

import (
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/models"
)

// TestAServerWithMoreLayersThanItsEntryStaysUsable asks servers that were given layers beside those that their entries name, and
// others in their place.
func TestAServerWithMoreLayersThanItsEntryStaysUsable(t *testing.T) {
	h, clock := testHandler(t, nil)
	g := twoCopies()
	more, other := g.Servers()[0], g.Servers()[1]
	h.believe(more, backend.Report{Layers: models.Layers{First: 0, End: 5}}, nil, reasonMemory)
	require.True(t, more.Usable(clock.Now()), "all paths that its entry allows are still held")
	h.believe(other, backend.Report{Layers: models.Layers{First: 5, End: 8}}, nil, reasonMemory)
	require.False(t, other.Usable(clock.Now()), "it has given up a layer that its entry names")
}
