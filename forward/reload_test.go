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
	base := Terms{
		Domain: "a", KeysAge: time.Second, Repeats: retry.Limit{Window: 10 * time.Second, Share: 0, Fixed: 1}, StallTime: 2 * time.Second,
		DrainTime: 3 * time.Second,
	}
	changes := map[string]func(*Terms){
		"none":          func(*Terms) {},
		"domain":        func(t *Terms) { t.Domain = "b" },
		"keys":          func(t *Terms) { t.KeysAge = time.Millisecond },
		"repeat window": func(t *Terms) { t.Repeats.Window = time.Second },
		"repeat share":  func(t *Terms) { t.Repeats.Share = 0.5 },
		"repeat slack":  func(t *Terms) { t.Repeats.Fixed = 0 },
		"stall time":    func(t *Terms) { t.StallTime = time.Millisecond },
		"drain time":    func(t *Terms) { t.DrainTime = time.Millisecond },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			g := twoCopies()
			e := newEngines(g)
			h, clock := testHandler(t, e)
			h.SetTerms(base)
			f, conn := connected(t, h, g, "one", 0, 1)
			was, reserved := f.course(), g.Servers()[0].Reserved()
			terms := base
			change(&terms)
			h.SetTerms(terms)
			leaving := departures{}
			for range 20 {
				clock.Advance(watchPeriod)
				f.touch(h)
				h.watch.scan(t.Context())
				h.watch.evacuate(t.Context(), leaving, h.watch.group)
			}
			require.True(t, isOpen(conn))
			require.Equal(t, was, f.course())
			require.InDelta(t, reserved, g.Servers()[0].Reserved(), 0)
			require.Empty(t, e.repairs)
			require.Zero(t, f.r.runs)
		})
	}
}

// TestAReloadChangesTheRetryLimitOfKnownServices raises the share after the first retry was counted.
func TestAReloadChangesTheRetryLimitOfKnownServices(t *testing.T) {
	g := twoCopies()
	h, _ := testHandler(t, newEngines(g))
	terms := Terms{Domain: "a", Repeats: retry.Limit{Window: 10 * time.Second, Fixed: 2}}
	h.SetTerms(terms)
	r := &request{group: g, route: &catalog.Route{}}
	h.countRequest(r)
	require.True(t, h.takeRepeat(r))
	require.False(t, h.takeRepeat(r))
	terms.Repeats.Share = 0.25
	h.SetTerms(terms)
	for range 10 {
		h.countRequest(r)
	}
	require.True(t, h.takeRepeat(r), "the new share counts from the next request on")
	require.False(t, h.takeRepeat(r))
}
