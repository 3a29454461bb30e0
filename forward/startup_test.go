package forward

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/follow"
	"junctioncross/metrics"
	"junctioncross/testlog"
	"junctioncross/timer"
)

// TestARequestWaitsForTheFirstConfiguration lets a request arrive before the configuration does.
func TestARequestWaitsForTheFirstConfiguration(t *testing.T) {
	// The tickers of the watcher and of the prober, and the request.
	const sleepers = 3
	h, clock := testHandler(t, nil)
	got := make(chan *follow.Snapshot, 1)
	go func() { got <- h.awaitSnapshot(t.Context()) }()
	for waited := time.Duration(0); waited < startupWait; waited += startupPoll {
		require.Empty(t, got, "it is not refused at once")
		require.NoError(t, clock.BlockUntilContext(t.Context(), sleepers))
		clock.Advance(startupPoll)
	}
	require.Nil(t, (<-got).Catalog(), "without a configuration it is refused after startupWait")
}

// TestARequestDoesNotWaitForTheConfigurationDuringAnOutage lets a request arrive long after the start of an instance that
// has received nothing.
func TestARequestDoesNotWaitForTheConfigurationDuringAnOutage(t *testing.T) {
	h, clock := testHandler(t, nil)
	clock.Advance(startupPeriod)
	require.Nil(t, h.awaitSnapshot(t.Context()).Catalog(), "the clock stands still: a wait would not end")
}

// lateServers is a source that returns the configuration at once and the servers later, like a store that all instances
// query at the same time.
type lateServers struct {
	catalog *catalog.Catalog
	servers chan struct{}
}

// Read implements follow.Source.
func (s lateServers) Read(ctx context.Context, feed follow.Feed) (follow.Updates, error) {
	if feed == follow.FeedConfig {
		return follow.Updates{Changes: []follow.Change{follow.Configured{Catalog: s.catalog}}, At: 1, AsOf: time.Now()}, nil
	}
	select {
	case <-s.servers:
	case <-ctx.Done():
		return follow.Updates{}, ctx.Err()
	}
	entry := backend.Entry{ID: "s", Service: "plain", Addr: "127.0.0.1:1", Domain: "a", Revision: 1}
	return follow.Updates{Changes: []follow.Change{follow.ServerSeen{Entry: entry}}, At: 1, AsOf: time.Now()}, nil
}

// Next implements follow.Source.
func (lateServers) Next(ctx context.Context, _ follow.Feed, _ follow.Position) (follow.Updates, error) {
	<-ctx.Done()
	return follow.Updates{}, ctx.Err()
}

// TestARequestWaitsForTheFirstServers lets a request arrive after the configuration and before the servers: it is neither
// refused for want of free capacity nor told to try again in some seconds, although no server is known yet.
func TestARequestWaitsForTheFirstServers(t *testing.T) {
	h, clock := testHandler(t, nil)
	ready := make(chan struct{})
	c, err := catalog.New(&catalog.Content{Version: 1, Services: []catalog.Service{{Name: "plain"}}})
	require.NoError(t, err)
	source := lateServers{catalog: c, servers: ready}
	follow.New(t.Context(), source, h.fleetView, h.ends, timer.New(clock), metrics.New(), testlog.New(t))
	require.Eventually(t, func() bool { return h.fleetView.Current().Catalog() != nil }, 30*time.Second, time.Millisecond)
	got := make(chan *follow.Snapshot, 1)
	go func() { got <- h.awaitSnapshot(t.Context()) }()
	// The tickers of the watcher, of the prober and of the control goroutine, and the request.
	const sleepers = 4
	for range 10 {
		require.NoError(t, clock.BlockUntilContext(t.Context(), sleepers))
		require.Empty(t, got, "it waits")
		clock.Advance(startupPoll)
	}
	close(ready)
	require.Eventually(t, h.fleetView.Listed, 30*time.Second, time.Millisecond)
	// The request may already have seen the list of servers, or it sleeps.
	require.Eventually(t, func() bool {
		clock.Advance(startupPoll)
		return len(got) > 0
	}, 30*time.Second, time.Millisecond)
	require.Len(t, (<-got).Group("plain").Servers(), 1)
}
