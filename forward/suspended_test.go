package forward

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/decision"
	"junctioncross/follow"
	"junctioncross/metrics"
	"junctioncross/testlog"
	"junctioncross/timer"
)

// confirming is a follow.Source that confirms its configuration once and then says nothing.
type confirming struct {
	catalog *catalog.Catalog
	at      time.Time
}

// Read implements follow.Source.
func (c confirming) Read(_ context.Context, feed follow.Feed) (follow.Updates, error) {
	if feed != follow.FeedConfig {
		return follow.Updates{At: 1, AsOf: c.at}, nil
	}
	return follow.Updates{Changes: []follow.Change{follow.Configured{Catalog: c.catalog}}, At: 1, AsOf: c.at}, nil
}

// Next implements follow.Source.
func (confirming) Next(ctx context.Context, _ follow.Feed, _ follow.Position) (follow.Updates, error) {
	<-ctx.Done()
	return follow.Updates{}, ctx.Err()
}

// TestKeysAreNotTrustedAfterASuspension suspends the machine for 8 s while its monotonic clock stands still. Keys may have been
// revoked meanwhile, so the last confirmation is too old for keyed requests, and a denial for an unknown key may be wrong as
// well.
func TestKeysAreNotTrustedAfterASuspension(t *testing.T) {
	var suspended atomic.Int64
	fake := clockwork.NewFakeClock()
	begun := fake.Now()
	clock, err := timer.NewWithBootClock(fake, func() (time.Duration, error) { return fake.Since(begun) + time.Duration(suspended.Load()), nil })
	require.NoError(t, err)
	c, err := catalog.New(&catalog.Content{Version: 1})
	require.NoError(t, err)
	fleetView, stats, log := follow.NewFleetView(), metrics.New(), testlog.New(t)
	h := New(t.Context(), Settings{Domain: "a", KeysAge: 3 * time.Second}, fleetView, nil, nil, backend.DirectDialer{}, clock, stats, decision.NewRecorder(log, clock, stats), oneInstance{}, testBook(), noPublisher{}, nil)
	follow.New(t.Context(), confirming{catalog: c, at: clock.Now()}, fleetView, h.ends, clock, stats, log)
	require.Eventually(t, h.KeysConfirmed, testTimeout, time.Millisecond)
	suspended.Store(int64(8 * time.Second))
	gap, err := clock.CheckSuspension()
	require.NoError(t, err)
	require.Equal(t, 8*time.Second, gap)
	require.False(t, h.KeysConfirmed())
	require.Greater(t, fleetView.KeysAge(clock.Now()), freshConfigAge)
}
