package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/retry"
)

func TestOldEventsAreNoLongerCounted(t *testing.T) {
	c := retry.NewWindowCounter(recentSlots, slotTime)
	now := time.Unix(1000, 0)
	for n := range 30 {
		c.Add(now.Add(time.Duration(n) * slotTime))
	}
	last := now.Add(29 * slotTime)
	require.Equal(t, recentSlots, c.Sum(last))
	require.Equal(t, recentSlots/2, c.Sum(last.Add(recentSlots/2*slotTime)))
	require.Zero(t, c.Sum(last.Add(time.Hour)))
}

// TestOverloadThatOutlastsItsCauseIsAGauge refuses some first tries while returning callers take up the room.
func TestOverloadThatOutlastsItsCauseIsAGauge(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	q := h.queueOf("s")
	stream := func(returned bool) *inflight {
		return &inflight{r: &request{group: g, route: &catalog.Route{}, meta: call.Meta{}}, returned: returned}
	}
	for range 3 {
		q.addUnderWay(stream(true), clock.Now())
	}
	q.addUnderWay(stream(false), clock.Now())
	q.join(stream(true))
	q.retryTimes = append(q.retryTimes, clock.Now().Add(time.Second), clock.Now().Add(time.Minute))
	for range 20 {
		h.countTry(stream(false))
		h.countTry(stream(true))
	}
	measure := func() string {
		h.measureDemand("s", g, clock.Now())
		return scrape(t, h)
	}
	got := measure()
	for _, want := range []string{
		`jx_streams_under_way{service="s"} 4`, `jx_returned_under_way{service="s"} 3`, `jx_streams_waiting{service="s"} 1`,
		`jx_returned_waiting{service="s"} 1`, `jx_told_to_come_back{service="s"} 2`, `jx_first_tries_recent{service="s"} 20`,
		`jx_first_tries_refused_recent{service="s"} 0`, `jx_overload_outlasts{service="s"} 0`,
	} {
		require.Contains(t, got, want+"\n")
	}
	for range 2 {
		q.refusedFirstTries.Add(clock.Now())
	}
	require.Contains(t, measure(), `jx_overload_outlasts{service="s"} 1`, "a tenth is refused, and the room is many times what they need")
	for range 8000 {
		h.countTry(stream(false))
		q.refusedFirstTries.Add(clock.Now())
	}
	require.Contains(t, measure(), `jx_overload_outlasts{service="s"} 0`, "first tries alone exceed the room: the cause persists")
	clock.Advance(time.Minute)
	require.Contains(t, measure(), `jx_first_tries_recent{service="s"} 0`)
}

// BenchmarkMeasureDemand measures the demand with 10,000 streams under way, as each scrape does every few seconds.
func BenchmarkMeasureDemand(b *testing.B) {
	q, now := newQueue(), time.Unix(1000, 0)
	for range 10000 {
		q.addUnderWay(&inflight{}, now)
	}
	for b.Loop() {
		q.demand(now)
	}
}
