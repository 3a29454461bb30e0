package forward

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/catalog"
	"junctioncross/front"
	"junctioncross/retry"
)

// scrape returns the metrics of the handler.
func scrape(t *testing.T, h *Handler) string {
	h.Measure()
	var out strings.Builder
	require.NoError(t, h.stats.Write(&out))
	return out.String()
}

func TestTheRetryBudgetIsAGauge(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	h.ApplySettings(Settings{Domain: "a", Repeats: retry.Limit{Window: 10 * time.Second, Share: 0.1, Fixed: 20}})
	r := &request{group: g, route: &catalog.Route{}}
	for range 100 {
		h.countRequest(r)
	}
	require.Contains(t, scrape(t, h), `jx_repeats_left{service="s"} 15`)
	require.True(t, h.takeRetry(r))
	require.Contains(t, scrape(t, h), `jx_repeats_left{service="s"} 14`)
	clock.Advance(time.Minute)
	require.Contains(t, scrape(t, h), `jx_repeats_left{service="s"} 10`, "no request counts any more, and no retry")
}

func TestServersPathsAndReportAgesAreGauges(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	for _, s := range g.Servers() {
		s.SetMemory(1, 2, 0, clock.Now())
	}
	clock.Advance(70 * time.Millisecond)
	measure := func() string {
		h.measureServers("s", g, clock.Now())
		h.measureLanes("s", g, clock.Now())
		return scrape(t, h)
	}
	got := measure()
	require.Contains(t, got, `jx_servers_usable{service="s"} 4`)
	require.Contains(t, got, `jx_servers_leaving{service="s"} 0`)
	require.Contains(t, got, `jx_memory_word_age_ms{service="s"} 70`)
	require.Contains(t, got, `jx_own_domain_sequences{service="s"} `)
	require.NotContains(t, got, `jx_own_domain_sequences{service="s"} 0`)
	require.Contains(t, got, `jx_crossing_sequences{service="s"} 0`)
	for _, s := range g.Servers()[:2] {
		announceLeaving(s)
	}
	announceLeaving(g.Servers()[2])
	got = measure()
	require.Contains(t, got, `jx_servers_usable{service="s"} 1`)
	require.Contains(t, got, `jx_servers_leaving{service="s"} 3`)
	require.Contains(t, got, `jx_own_domain_sequences{service="s"} 0`)
}

// TestFirstEventsAreComparedWithWhatWasPredicted has a first event that takes one and a half times as long as predicted.
func TestFirstEventsAreComparedWithWhatWasPredicted(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	f, _ := connected(t, h, g, "one", 0, 1)
	f.r.x = &front.Exchange{}
	f.firstEventDue.Store(int64(100 * time.Millisecond))
	f.touch(h)
	clock.Advance(150 * time.Millisecond)
	h.observePause(f)
	got := scrape(t, h)
	require.Contains(t, got, "jx_first_event_of_predicted_percent_count 1\n")
	require.Contains(t, got, "jx_first_event_of_predicted_percent_sum 150\n")
}

func TestWaitsForRoomAreComparedWithWhatWasPredicted(t *testing.T) {
	g := twoCopies()
	h, _ := testHandler(t, newFakeEngineClient(g))
	f, _ := connected(t, h, g, "one", 0, 1)
	f.r.x = &front.Exchange{}
	at := expectation{wait: 200 * time.Millisecond, likelihood: 0.8}
	h.observeWait(f, at, 100*time.Millisecond, true)
	h.observeWait(f, at, 900*time.Millisecond, false)
	got := scrape(t, h)
	require.Contains(t, got, "jx_wait_of_predicted_percent_count 1\n", "an unsuccessful wait has no end to compare")
	require.Contains(t, got, "jx_wait_of_predicted_percent_sum 50\n")
}
