package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/catalog"
	"junctioncross/retry"
)

// TestAReloadDoesNotDisturbRunningStreams replaces each setting that a reload can change, one after the other, while a
// stream runs on a healthy path: it keeps its path, connection, memory and number of runs.
func TestAReloadDoesNotDisturbRunningStreams(t *testing.T) {
	base := Settings{
		Domain: "a", KeysAge: time.Second, Repeats: retry.Limit{Window: 10 * time.Second, Share: 0, Fixed: 1}, StallTime: 2 * time.Second,
		DrainTime: 3 * time.Second,
	}
	changes := map[string]func(*Settings){
		"none":          func(*Settings) {},
		"domain":        func(t *Settings) { t.Domain = "b" },
		"keys":          func(t *Settings) { t.KeysAge = time.Millisecond },
		"repeat window": func(t *Settings) { t.Repeats.Window = time.Second },
		"repeat share":  func(t *Settings) { t.Repeats.Share = 0.5 },
		"repeat slack":  func(t *Settings) { t.Repeats.Fixed = 0 },
		"stall time":    func(t *Settings) { t.StallTime = time.Millisecond },
		"drain time":    func(t *Settings) { t.DrainTime = time.Millisecond },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			g := twoCopies()
			e := newFakeEngineClient(g)
			h, clock := testHandler(t, e)
			h.ApplySettings(base)
			f, conn := connected(t, h, g, "one", 0, 1)
			was, reserved := f.path(), g.Servers()[0].Reserved()
			settings := base
			change(&settings)
			h.ApplySettings(settings)
			backlog := evacuationBacklog{}
			for range 20 {
				clock.Advance(watchPeriod)
				f.touch(h)
				h.watch.scan(t.Context())
				h.watch.evacuate(t.Context(), backlog, h.watch.groupOf)
			}
			require.True(t, isOpen(conn))
			require.Equal(t, was, f.path())
			require.InDelta(t, reserved, g.Servers()[0].Reserved(), 0)
			require.Empty(t, e.repairs)
			require.Zero(t, f.r.runs)
		})
	}
}

// TestAReloadChangesTheRetryLimitOfKnownServices raises the share after the first retry was counted.
func TestAReloadChangesTheRetryLimitOfKnownServices(t *testing.T) {
	g := twoCopies()
	h, _ := testHandler(t, newFakeEngineClient(g))
	settings := Settings{Domain: "a", Repeats: retry.Limit{Window: 10 * time.Second, Fixed: 2}}
	h.ApplySettings(settings)
	r := &request{group: g, route: &catalog.Route{}}
	h.countRequest(r)
	require.True(t, h.takeRetry(r))
	require.False(t, h.takeRetry(r))
	settings.Repeats.Share = 0.25
	h.ApplySettings(settings)
	for range 10 {
		h.countRequest(r)
	}
	require.True(t, h.takeRetry(r), "the new share counts from the next request on")
	require.False(t, h.takeRetry(r))
}
