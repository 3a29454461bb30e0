package forward

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"junctioncross/admission"
	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/decision"
	"junctioncross/demand"
	"junctioncross/follow"
	"junctioncross/front"
	"junctioncross/metrics"
	"junctioncross/models"
	"junctioncross/timer"
)

// fakeLoads knows the totals of all services, unless unknown is true.
type fakeLoads struct {
	totals  demand.Totals
	unknown bool
	asked   int
}

func (f *fakeLoads) Fleet(string, time.Time) (demand.Totals, bool) {
	f.asked++
	return f.totals, !f.unknown
}

// shortLoads returns totals of a full room for which requests of two routes compete.
func shortLoads() *fakeLoads {
	return &fakeLoads{totals: demand.Totals{Instances: 9, UnderWay: 400, Waiting: 30, Room: 400, Lifetime: 4300 * time.Millisecond, Classes: []demand.Rates{
		{Class: demand.Class{Rank: demand.Rank{}}, Offered: 60}, {Class: demand.Class{Rank: demand.Rank{Account: 2, Route: 2}}, Offered: 140, Returned: 60},
	}}}
}

// rankedContent is a configuration with routes of the given priorities to the service of twoCopies.
func rankedContent(priorities ...int) *catalog.Content {
	c := &catalog.Content{Version: 1, Services: []catalog.Service{*twoCopies().Service()}}
	for n, p := range priorities {
		c.Routes = append(c.Routes, catalog.Route{
			Name: string(rune('a' + n)), Host: "h", Prefix: "/" + string(rune('a'+n)), Targets: []catalog.Target{{Service: "s", Weight: 1}},
			MaxAttempts: 1, Timeout: time.Minute, Objective: time.Second, Priority: p,
		})
	}
	return c
}

// admitter is a handler with a configuration and a load.
type admitter struct {
	t     *testing.T
	h     *Handler
	clock *clockwork.FakeClock
	group *backend.Group
	stats *metrics.Registry
	log   *bytes.Buffer
}

func newAdmitter(t *testing.T, content *catalog.Content, settings AdmissionSettings, loads Loads) *admitter {
	c, err := catalog.New(content)
	require.NoError(t, err)
	fake, log, out := clockwork.NewFakeClock(), logrus.New(), &bytes.Buffer{}
	log.SetOutput(out)
	clock, stats, view := timer.New(fake), metrics.New(), follow.NewFleetView()
	h := New(t.Context(), Settings{Domain: "a", Admission: settings}, view, nil, nil, backend.DirectDialer{}, clock, stats, decision.NewRecorder(log, clock, stats), oneInstance{},
		testBook(), noPublisher{}, nil)
	h.setLoads(loads)
	follow.New(t.Context(), confirming{catalog: c, at: clock.Now()}, view, h.ends, clock, stats, log)
	require.Eventually(t, func() bool { return view.Current().Catalog() != nil }, testTimeout, time.Millisecond)
	return &admitter{t: t, h: h, clock: fake, group: twoCopies(), stats: stats, log: out}
}

// admitted returns how many of n requests on a route are admitted once the levels have settled.
func (a *admitter) admitted(route *catalog.Route, returned bool, resumeAfter string, n int) int {
	admitted := 0
	for i := range 50 + n {
		a.clock.Advance(totalsPeriod)
		r := &request{x: &front.Exchange{}, route: route, group: a.group, rank: rankOf(nil, route), meta: call.Meta{ResumeAfter: resumeAfter}}
		last, ok := a.h.admit(&inflight{r: r, returned: returned, certainlyReturned: returned})
		if !ok {
			require.Equal(a.t, notRun{reason: models.ReasonLowRank}, last)
		}
		if ok && i >= 50 {
			admitted++
		}
	}
	return admitted
}

// TestTheLeastUrgentAreRefusedWhileTheRoomIsShort has twice as much load as room.
func TestTheLeastUrgentAreRefusedWhileTheRoomIsShort(t *testing.T) {
	content := rankedContent(0, 2)
	a := newAdmitter(t, content, AdmissionSettings{Ranks: true}, shortLoads())
	urgent, background := &content.Routes[0], &content.Routes[1]
	require.Equal(t, 100, a.admitted(urgent, false, "", 100))
	require.InDelta(t, 28, a.admitted(background, false, "", 100), 6)
	require.Less(t, a.admitted(background, true, "", 100), 20, "they are late already")
	require.Equal(t, 100, a.admitted(background, false, "7", 100), "its stream has begun")
	a.h.Measure()
	require.Positive(t, a.stats.Counter(refusedCounter("s", "2.2", admission.ReasonRank)).Count())
	require.EqualValues(t, 100, a.stats.Gauge(levelGauge("s", "0.0")).Value())
	require.InDelta(t, 28, a.stats.Gauge(levelGauge("s", "2.2")).Value(), 6)
	require.Contains(t, a.log.String(), "admission levels")
	require.Contains(t, a.log.String(), "route a: 0, route b: 2")
}

// TestNothingIsRefusedByRankWhereNothingCallsForIt has the same load.
func TestNothingIsRefusedByRankWhereNothingCallsForIt(t *testing.T) {
	unknown := shortLoads()
	unknown.unknown = true
	for name, tt := range map[string]struct {
		content  *catalog.Content
		settings AdmissionSettings
		loads    *fakeLoads
	}{
		"like priorities": {rankedContent(2, 2), AdmissionSettings{Ranks: true}, shortLoads()},
		"switched off":    {rankedContent(0, 2), AdmissionSettings{}, shortLoads()},
		"unknown totals":  {rankedContent(0, 2), AdmissionSettings{Ranks: true}, unknown},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAdmitter(t, tt.content, tt.settings, tt.loads)
			require.Equal(t, 100, a.admitted(&tt.content.Routes[1], false, "", 100))
		})
	}
}

// TestLostTotalsEndTheRefusals loses the totals while levels are low.
func TestLostTotalsEndTheRefusals(t *testing.T) {
	content, loads := rankedContent(0, 2), shortLoads()
	a := newAdmitter(t, content, AdmissionSettings{Ranks: true}, loads)
	require.Less(t, a.admitted(&content.Routes[1], false, "", 100), 50)
	loads.unknown = true
	require.Equal(t, 100, a.admitted(&content.Routes[1], false, "", 100))
	require.Equal(t, 1, bytes.Count(a.log.Bytes(), []byte("known=false")), "it is logged once")
}

// TestPartsThatTheConfigurationCannotFollowAreNotInForce names unknown routes and accounts, and a route that cannot be told apart.
func TestPartsThatTheConfigurationCannotFollowAreNotInForce(t *testing.T) {
	parts := []AdmissionPart{{Route: "x", Ceiling: 0.1}, {Account: "x", Ceiling: 0.1}, {Route: "b", Ceiling: 0.1}, {Route: "a", Ceiling: 0.1}}
	content := rankedContent(0, 2, 2)
	a := newAdmitter(t, content, AdmissionSettings{Parts: parts}, shortLoads())
	require.Equal(t, 100, a.admitted(&content.Routes[1], false, "", 100))
	require.InDelta(t, 17, a.admitted(&content.Routes[0], false, "", 100), 4)
	for _, field := range []string{"admission.parts[0].route", "admission.parts[1].account", "admission.parts[2].route"} {
		require.Contains(t, a.log.String(), field)
	}
	require.NotContains(t, a.log.String(), "admission.parts[3]")
}

// TestFirstTriesWaitBeforeReturningOnesWhereRanksDiffer queues requests of one rank.
func TestFirstTriesWaitBeforeReturningOnesWhereRanksDiffer(t *testing.T) {
	q := newQueue()
	waiting := func(returned bool) *inflight {
		f := newWaiting(demand.Rank{}, returned)
		f.firstTriesFirst = true
		q.join(f)
		return f
	}
	back, first := waiting(true), waiting(false)
	require.True(t, q.isFirst(first))
	q.leave(first)
	for range maxOvertaken - 1 {
		f := waiting(false)
		require.True(t, q.isFirst(f))
		q.leave(f)
	}
	waiting(false)
	require.True(t, q.isFirst(back), "it is not overtaken forever")
}

// TestAReloadSwitchesAdmissionByRank switches it on, and off again.
func TestAReloadSwitchesAdmissionByRank(t *testing.T) {
	content := rankedContent(0, 2)
	a := newAdmitter(t, content, AdmissionSettings{}, shortLoads())
	for _, ranks := range []bool{true, false} {
		settings := *a.h.settings.Load()
		settings.Admission.Ranks = ranks
		a.h.ApplySettings(settings)
		require.Contains(t, a.log.String(), "ranks="+strconv.FormatBool(ranks), "before any request")
		require.Equal(t, !ranks, a.admitted(&content.Routes[1], false, "", 100) == 100)
		a.h.Measure()
	}
	require.EqualValues(t, 100, a.stats.Gauge(levelGauge("s", "2.2")).Value(), "it is off")
}
