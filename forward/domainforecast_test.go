package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/demand"
)

// steadyTotals returns totals of a domain in which 100 streams end each second.
func steadyTotals(age time.Duration) demand.Totals {
	t := demand.Totals{Service: "chat", Domain: "a", Instances: 30, Age: age, UnderWay: 300, Lifetime: 3 * time.Second}
	for i, within := range demand.Horizons {
		t.Ends[i] = 100 * within.Seconds()
	}
	return t
}

func TestEndsAreInterpolatedBetweenTheHorizons(t *testing.T) {
	d := domainForecast{totals: steadyTotals(0)}
	for _, at := range []time.Duration{0, 100 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second, 8 * time.Second, 20 * time.Second} {
		require.InDelta(t, 100*at.Seconds(), d.endsBy(at), 1e-6, at)
	}
}

func TestTheTimeToRoomCountsAllCallersAhead(t *testing.T) {
	d := domainForecast{totals: steadyTotals(0)}
	d.totals.Waiting, d.totals.ToldToReturn = 50, 149
	// A half of the room is meant for returning callers.
	require.InDelta(t, 4, d.timeToRoom(time.Minute).Seconds(), 0.1)
	require.Equal(t, time.Second, d.timeToRoom(time.Second), "at most the limit")
	// In the second since the reports, 80 more were told to return and room came for 50.
	d.totals.Age, d.totals.ToldRate = time.Second, 80
	require.InDelta(t, 4.6, d.timeToRoom(time.Minute).Seconds(), 0.1)
	d.totals.Waiting, d.totals.ToldToReturn, d.totals.ToldRate = 0, 0, 0
	require.Less(t, d.timeToRoom(time.Minute), 100*time.Millisecond)
}

func TestForecastsAreBoundedForAnyTotals(t *testing.T) {
	for _, totals := range []demand.Totals{
		{UnderWay: 1, Lifetime: 1, ToldToReturn: 1e9},
		{UnderWay: 1e9, Lifetime: 1},
		{UnderWay: 1, Lifetime: 24 * time.Hour, ToldRate: 1e9, Age: 2 * time.Second},
		{UnderWay: 1, Lifetime: time.Second, Ends: demand.Ends{9, 5, 1, 0, 0, 0}},
	} {
		d := domainForecast{totals: totals}
		got := d.timeToRoom(5 * time.Second)
		require.GreaterOrEqual(t, got, time.Duration(0))
		require.LessOrEqual(t, got, 5*time.Second)
	}
}

// refusedWith returns a handler whose book holds reports of some other instances, and a request that it refuses.
func refusedWith(t *testing.T, instances int, age time.Duration) (*Handler, *inflight) {
	h, fake := testHandler(t, nil)
	g := twoCopies()
	h.loads = demand.NewBook("a")
	for i := range instances {
		r := demand.Report{Service: g.Service().Name, UnderWay: 10, Lifetime: 3 * time.Second, ToldToReturn: 5, Ends: demand.Ends{1, 2, 3, 6, 12, 24}}
		require.Empty(t, h.loads.AddReports(fmt.Sprint("i-", i), []demand.Report{r}, 0, fake.Now()))
	}
	fake.Advance(age)
	return h, newUnbegun(h, g)
}

func TestRetryTimesComeFromTheDomainWhileItsLoadIsKnown(t *testing.T) {
	for _, one := range []struct {
		instances int
		age       time.Duration
		want      string
	}{
		{instances: 30, age: time.Second, want: forecastDomain},
		{instances: 30, age: demand.FreshTime + 1, want: forecastOwn},
		{instances: 1, age: 0, want: forecastOwn},
		{instances: 0, age: 0, want: forecastOwn},
	} {
		h, f := refusedWith(t, one.instances, one.age)
		h.retryAfter(f.r)
		require.Equal(t, one.want, f.r.forecast, "%d instances, age %s", one.instances, one.age)
	}
}

// TestEachHalfOfADomainForecastsFromItsOwnTotals cuts a domain of 30 instances in two: each half has a relay of its own, which
// knows only the reports of its half.
func TestEachHalfOfADomainForecastsFromItsOwnTotals(t *testing.T) {
	whole, f := refusedWith(t, 30, 0)
	half, _ := refusedWith(t, 15, 0)
	service, now := f.r.group.Service().Name, whole.clock.Now()
	wholeTotals, ok := whole.totals(service, now)
	require.True(t, ok)
	halfTotals, ok := half.totals(service, now)
	require.True(t, ok)
	require.Equal(t, 300, wholeTotals.UnderWay)
	require.Equal(t, 150, halfTotals.UnderWay)
	one, other := domainForecast{totals: wholeTotals}, domainForecast{totals: halfTotals}
	require.InDelta(t, one.timeToRoom(time.Minute).Seconds(), other.timeToRoom(time.Minute).Seconds(), 0.3, "half the callers for half the room")
}
