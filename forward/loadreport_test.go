package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"junctioncross/admission"
	"junctioncross/catalog"
	"junctioncross/decision"
	"junctioncross/demand"
)

// TestALoadReportDescribesTheOwnStreams gives an instance three streams under way, a waiting request, and callers of two
// priorities, of whom some are refused.
func TestALoadReportDescribesTheOwnStreams(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	q := h.queueOf("s")
	for range 3 {
		q.addUnderWay(newUnbegun(h, g), clock.Now())
	}
	q.join(newUnbegun(h, g))
	urgent, refused, returned := newUnbegun(h, g), newUnbegun(h, g), newUnbegun(h, g)
	urgent.r.rank = rankOf(&catalog.Account{Priority: 1}, &catalog.Route{Priority: 2})
	refused.r.rank = rankOf(&catalog.Account{Priority: 3}, &catalog.Route{})
	returned.r.rank, returned.returned, returned.certainlyReturned = refused.r.rank, true, true
	for _, f := range []*inflight{urgent, urgent, refused, returned} {
		h.countTry(f)
	}
	h.countRefused(refused, notRun{})
	h.retryAfter(refused.r)
	h.lanesOf(g, clock.Now())
	got := h.loadReport("s", clock.Now())
	require.Equal(t, "s", got.Service)
	require.Equal(t, 3, got.UnderWay)
	require.Equal(t, 1, got.Waiting)
	require.Equal(t, 1, got.ToldToReturn)
	require.InDelta(t, 1, got.ToldRate, 0)
	require.Positive(t, got.Room)
	require.InDelta(t, initialLifetime.Seconds(), got.Lifetime.Seconds(), 0.3)
	for i := 1; i < len(got.Ends); i++ {
		require.Greater(t, got.Ends[i], got.Ends[i-1])
	}
	require.Equal(t, []demand.Rates{
		{Class: demand.Class{Rank: demand.Rank{Account: 1, Route: 2}}, Offered: 2},
		{Class: demand.Class{Rank: demand.Rank{Account: 3}}, Offered: 1, Refused: 1, Returned: 1},
	}, got.Classes)
	clock.Advance(rateSlots * rateSlot)
	require.Empty(t, h.loadReport("s", clock.Now()).Classes)
}

func TestTheClassesOfALoadReportAreBounded(t *testing.T) {
	var c classRates
	now := time.Unix(100, 0)
	for i := range 10 * demand.MaxReportClasses {
		c.of(demand.Class{Rank: demand.Rank{Account: i}}, now).offered.add(now)
	}
	offered := 0.0
	for _, r := range c.rates(now) {
		offered += r.Offered
	}
	require.Len(t, c.counters, demand.MaxReportClasses)
	require.InDelta(t, 10*demand.MaxReportClasses, offered*rateSlots*rateSlot.Seconds(), 1e-6, "no request is lost")
	later := now.Add(rateSlots * rateSlot)
	c.of(demand.Class{Rank: demand.Rank{Account: -1}}, later).offered.add(later)
	require.Len(t, c.counters, 1, "classes without requests make room")
}

// TestTheFallbackToOwnStreamsIsLoggedOncePerChange lets the load of a domain become known, lost and known again.
func TestTheFallbackToOwnStreamsIsLoggedOncePerChange(t *testing.T) {
	h, clock := testHandler(t, nil)
	log, hook := test.NewNullLogger()
	h.record = decision.NewRecorder(log, h.clock, h.stats)
	h.loads = demand.NewBook("a")
	l := &loadReporter{h: h, known: map[string]bool{}}
	tick := func(reporting bool) {
		for range 20 {
			for i := range 5 {
				if reporting {
					h.loads.AddReports(fmt.Sprint("i-", i), []demand.Report{{Service: "s", UnderWay: 7, Room: 40}}, 0, clock.Now())
				}
			}
			l.noteKnown([]string{"s"}, clock.Now())
			clock.Advance(loadReportPeriod)
		}
	}
	tick(false)
	require.Empty(t, hook.AllEntries(), "what was never known is not lost")
	tick(true)
	h.measureDomain("s", clock.Now())
	require.Contains(t, scrape(t, h), `jx_domain_instances_reporting{service="s"} 5`)
	require.Contains(t, scrape(t, h), `jx_domain_streams_under_way{service="s"} 35`)
	tick(false)
	h.measureDomain("s", clock.Now())
	require.Contains(t, scrape(t, h), `jx_domain_instances_reporting{service="s"} 0`)
	tick(true)
	var messages []string
	for _, e := range hook.AllEntries() {
		messages = append(messages, e.Message)
	}
	require.Equal(t, []string{"domain load known", "domain load unknown", "domain load known"}, messages)
}

// TestTheTotalsOfRealReportsMoveLevels has two instances whose streams end within three seconds, as their own load reports say, and
// twice as many callers as the room is for.
func TestTheTotalsOfRealReportsMoveLevels(t *testing.T) {
	book, now := demand.NewBook("a"), time.Unix(1000, 0)
	q := newQueue()
	for i := range 40 {
		q.addUnderWay(&inflight{}, now.Add(-time.Duration(i)*100*time.Millisecond))
	}
	urgent, background := demand.Class{Rank: demand.Rank{}}, demand.Class{Rank: demand.Rank{Account: 2, Route: 2}}
	c := admission.New(admission.Settings{Ranks: true}, func() float64 { return 0.5 })
	for ; now.Before(time.Unix(1010, 0)); now = now.Add(totalsPeriod) {
		r := q.loadReport(now, func(*inflight) bool { return false })
		r.Service, r.Room = "s", 80
		r.Waiting, r.Classes = 4, []demand.Rates{{Class: urgent, Offered: 10}, {Class: background, Offered: 20}}
		require.Empty(t, book.SetOwn("i-0", []demand.Report{r}, now))
		require.Empty(t, book.AddReports("i-1", []demand.Report{r}, 0, now))
		totals, ok := book.Fleet("s", now)
		require.True(t, ok)
		require.True(t, c.Update(&totals, now), "%+v", totals)
	}
	levels := c.AppendLevels(nil)
	require.Len(t, levels, 2)
	require.InDelta(t, 1, levels[0].First, 0)
	require.Less(t, levels[1].First, 0.9)
}
