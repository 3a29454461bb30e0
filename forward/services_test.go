package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
)

// TestWatchingOneServiceRepairsNoStreamOfAnother has stalled streams of two chained services. The path of one passes a server
// that leaves, but only the other service is diagnosed.
func TestWatchingOneServiceRepairsNoStreamOfAnother(t *testing.T) {
	g := twoCopies()
	service := &catalog.Service{Name: "t", Engine: g.Service().Engine}
	var servers []*backend.Server
	for i, s := range g.Servers() {
		servers = append(servers, backend.NewServer(backend.Entry{
			ID: fmt.Sprint("t", i), Service: "t", Addr: fmt.Sprint("127.0.0.2:", i+1), Domain: "a", Kind: "k", Layers: s.Layers(),
		}))
	}
	other := backend.NewGroup(service, servers)
	e := newFakeEngineClient(g)
	h, clock := testHandler(t, e)
	stalled := newActiveStream(h, g, "still", 0, 0, 1)
	newActiveStream(h, other, "other", 0, 0, 1)
	clock.Advance(140 * time.Millisecond)
	announceLeaving(servers[1])
	h.watch.diagnose(t.Context(), stalled.first, g, []*inflight{stalled})
	require.NotContains(t, e.repairs, "other")
}
