package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
)

// TestWatchingOneServiceRepairsNoStreamOfAnother lets streams of two chained services stand still, one of which passes a server that leaves.
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
	e := newEngines(g)
	h, clock := testHandler(t, e)
	still := flying(h, g, "still", 0, 0, 1)
	flying(h, other, "other", 0, 0, 1)
	clock.Advance(140 * time.Millisecond)
	leave(servers[1])
	h.watch.look(t.Context(), still.first, g, []*inflight{still})
	require.NotContains(t, e.repairs, "other")
}
