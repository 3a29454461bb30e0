package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/follow"
	"junctioncross/metrics"
	"junctioncross/testlog"
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

// removeServices puts a configuration without services in force.
func removeServices(t *testing.T, h *Handler) {
	c, err := catalog.New(&catalog.Content{Version: 1})
	require.NoError(t, err)
	follow.New(t.Context(), confirming{catalog: c, at: h.clock.Now()}, h.fleetView, h.ends, h.clock, metrics.New(), testlog.New(t))
	require.Eventually(t, func() bool { return h.fleetView.Current().Catalog() != nil }, testTimeout, time.Millisecond)
}

// TestStreamsOfAServiceThatAConfigurationRemovesAreRepaired guards against answers that end because nobody replaces their servers any more.
func TestStreamsOfAServiceThatAConfigurationRemovesAreRepaired(t *testing.T) {
	repaired := func(e *fakeEngineClient) bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.repairs["one"]) > 0
	}
	t.Run("dead server", func(t *testing.T) {
		g := twoCopies()
		e := newFakeEngineClient(g, 1)
		h, clock := testHandler(t, e)
		removeServices(t, h)
		newActiveStream(h, g, "one", 0, 0, 1)
		clock.Advance(time.Second)
		h.watch.scan(t.Context())
		require.Eventually(t, func() bool { return repaired(e) }, testTimeout, time.Millisecond)
	})
	t.Run("server that leaves", func(t *testing.T) {
		g := twoCopies()
		e := newFakeEngineClient(g)
		h, clock := testHandler(t, e)
		removeServices(t, h)
		newActiveStream(h, g, "one", 0, 0, 1)
		sendLeaveNotice(g.Servers()[1], clock)
		backlog := evacuationBacklog{}
		require.Eventually(t, func() bool {
			clock.Advance(watchPeriod)
			h.watch.evacuate(t.Context(), backlog, h.watch.groupOf)
			return repaired(e)
		}, testTimeout, time.Millisecond)
	})
}
