package demand

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// reportOf returns a report of a busy instance.
func reportOf(underWay, waiting int, room float64) Report {
	return Report{
		Service: "chat", UnderWay: underWay, Waiting: waiting, Room: room, Lifetime: 3 * time.Second, Ends: Ends{1, 2, 3, 6, 9, 10},
		ToldToReturn: 2, Classes: []Rates{{Class: Class{Rank: Rank{Account: 1}}, Offered: 3, Refused: 1, Returned: 0.5}},
	}
}

func TestTotalsAreSumsAndTheRoomIsTheMedian(t *testing.T) {
	b := NewBook("east")
	require.Empty(t, b.SetOwn("a", []Report{reportOf(8, 1, 300)}, start))
	_, ok := b.Totals("chat", "east", start)
	require.False(t, ok, "one instance alone has no totals")
	for i, room := range []float64{290, 310, 900} {
		r := reportOf(10, i, room)
		r.Lifetime = 6 * time.Second
		require.Empty(t, b.AddReports(fmt.Sprint("b-", i), []Report{r}, 400*time.Millisecond, start))
	}
	got, ok := b.Totals("chat", "east", start)
	require.True(t, ok)
	require.Equal(t, Totals{
		Service: "chat", Domain: "east", Instances: 4, Age: 300 * time.Millisecond, UnderWay: 38, Waiting: 4, Room: 305,
		Lifetime: 204 * time.Second / 38, Ends: Ends{4, 8, 12, 24, 36, 40}, ToldToReturn: 8,
		Classes: []Rates{{Class: Class{Rank: Rank{Account: 1}}, Offered: 12, Refused: 4, Returned: 2}},
	}, got)
	require.Equal(t, []Totals{got}, b.LocalTotals(start))
	require.Equal(t, []Totals{got}, b.All(start))
}

func TestTotalsAgeAndExpire(t *testing.T) {
	b := NewBook("east")
	require.Empty(t, b.AddTotals([]Totals{{Service: "chat", Domain: "west", Instances: 3, Age: time.Second}}, start))
	got, ok := b.Totals("chat", "west", start.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, 2*time.Second, got.Age)
	_, ok = b.Totals("chat", "west", start.Add(time.Second+1))
	require.False(t, ok)
	require.Empty(t, b.All(start.Add(time.Second+1)))
	_, ok = b.Totals("other", "west", start)
	require.False(t, ok)
}

func TestTheNewestTotalsWin(t *testing.T) {
	b := NewBook("east")
	b.AddTotals([]Totals{{Service: "chat", Domain: "west", Waiting: 1, Age: 200 * time.Millisecond}}, start)
	b.AddTotals([]Totals{{Service: "chat", Domain: "west", Waiting: 2, Age: 900 * time.Millisecond}}, start.Add(100*time.Millisecond))
	got, _ := b.Totals("chat", "west", start.Add(100*time.Millisecond))
	require.Equal(t, 1, got.Waiting)
	b.AddTotals([]Totals{{Service: "chat", Domain: "west", Waiting: 3, Age: 250 * time.Millisecond}}, start.Add(100*time.Millisecond))
	got, _ = b.Totals("chat", "west", start.Add(100*time.Millisecond))
	require.Equal(t, 3, got.Waiting)
}

// TestAnInstanceThatFallsSilentIsForgotten lets one of two reporting instances stop: its report counts up to reportTTL.
func TestAnInstanceThatFallsSilentIsForgotten(t *testing.T) {
	b := NewBook("east")
	b.AddReports("gone", []Report{reportOf(10, 0, 300)}, 0, start)
	for at := time.Duration(0); at <= 4*time.Second; at += 200 * time.Millisecond {
		now := start.Add(at)
		b.AddReports("alive", []Report{reportOf(10, 0, 300)}, 0, now)
		got, ok := b.Totals("chat", "east", now)
		require.True(t, ok)
		want := 1
		if at <= reportTTL {
			want = 2
		}
		require.Equal(t, want, got.Instances, "at %s", at)
	}
	require.Equal(t, 1, b.Reporters(start.Add(4*time.Second)))
	require.Len(t, b.others, 1)
}

// TestTheTotalsOfMoreInstancesCountWhileADomainChangesItsRelay gives a standby relay the reports of two instances while the
// totals from the former relay are still fresh.
func TestTheTotalsOfMoreInstancesCountWhileADomainChangesItsRelay(t *testing.T) {
	b := NewBook("east")
	b.SetOwn("a", []Report{reportOf(1, 0, 300)}, start)
	b.AddTotals([]Totals{{Service: "chat", Domain: "east", Instances: 30}}, start)
	b.AddReports("b", []Report{reportOf(1, 0, 300)}, 0, start)
	got, _ := b.Totals("chat", "east", start)
	require.Equal(t, 30, got.Instances)
	later := start.Add(FreshTime + 1)
	b.AddReports("b", []Report{reportOf(1, 0, 300)}, 0, later)
	got, ok := b.Totals("chat", "east", later)
	require.True(t, ok)
	require.Equal(t, 2, got.Instances)
}

func TestUnusableReportsChangeNothing(t *testing.T) {
	b := NewBook("east")
	b.SetServices([]string{"chat"})
	b.AddReports("a", []Report{reportOf(10, 1, 300)}, 0, start)
	before, _ := b.Totals("chat", "east", start)
	changed := func(change func(r *Report)) []Report {
		r := reportOf(99, 99, 99)
		change(&r)
		return []Report{r}
	}
	for want, reports := range map[Reason][]Report{
		ReasonName:    changed(func(r *Report) { r.Service = string(make([]byte, maxNameBytes+1)) }),
		ReasonService: changed(func(r *Report) { r.Service = "unknown" }),
		ReasonClasses: changed(func(r *Report) { r.Classes = make([]Rates, MaxReportClasses+1) }),
		ReasonNumber:  changed(func(r *Report) { r.Ends[3] = math.NaN() }),
	} {
		require.Equal(t, []Reason{want}, b.AddReports("a", reports, 0, start), want)
		require.Equal(t, []Reason{want}, b.AddReports("b", reports, 0, start), want)
	}
	for _, reports := range [][]Report{
		changed(func(r *Report) { r.UnderWay = -1 }), changed(func(r *Report) { r.Waiting = math.MaxInt }),
		changed(func(r *Report) { r.Room = math.Inf(1) }), changed(func(r *Report) { r.Lifetime = -1 }),
		changed(func(r *Report) { r.Classes[0].Refused = -0.5 }), changed(func(r *Report) { r.ToldToReturn = -1 }),
		changed(func(r *Report) { r.ToldRate = math.NaN() }),
	} {
		require.Equal(t, []Reason{ReasonNumber}, b.AddReports("b", reports, 0, start))
	}
	for _, age := range []time.Duration{-1, maxAge + 1} {
		require.Equal(t, []Reason{ReasonAge}, b.AddReports("b", []Report{reportOf(9, 9, 9)}, age, start))
		require.Equal(t, []Reason{ReasonAge}, b.AddTotals([]Totals{{Service: "chat", Domain: "east", Instances: 9, Age: age}}, start))
	}
	after, _ := b.Totals("chat", "east", start)
	require.Equal(t, before, after)
	require.Equal(t, 1, b.Reporters(start))
}

func TestTheMemoryOfABookIsBounded(t *testing.T) {
	b := NewBook("east")
	for i := range maxInstances + 10 {
		b.AddReports(fmt.Sprint("i-", i), []Report{reportOf(1, 0, 1)}, 0, start)
	}
	require.Len(t, b.others, maxInstances)
	var totals []Totals
	for domain := range maxDomains + 5 {
		for service := range maxServices + 5 {
			totals = append(totals, Totals{Service: fmt.Sprint("s-", service), Domain: fmt.Sprint("d-", domain)})
		}
		b.AddTotals(totals, start)
		totals = nil
	}
	require.Equal(t, []Reason{ReasonFull}, b.AddTotals(make([]Totals, maxDomains*maxServices+1), start))
	require.Equal(t, []Reason{ReasonFull}, b.AddReports("i-0", make([]Report, maxServices+1), 0, start))
	require.Len(t, b.received, maxDomains*maxServices)
	for i := range 10 {
		r := reportOf(1, 0, 1)
		r.Classes = make([]Rates, MaxReportClasses)
		for c := range r.Classes {
			r.Classes[c] = Rates{Class: Class{Account: fmt.Sprint(i, "-", c)}, Offered: 1}
		}
		b.AddReports(fmt.Sprint("i-", i), []Report{r}, 0, start)
	}
	later := start.Add(time.Second)
	got, ok := b.Totals("chat", "east", later)
	require.True(t, ok)
	require.Len(t, got.Classes, maxClasses)
	offered := 0.0
	for _, c := range got.Classes {
		offered += c.Offered
	}
	require.InDelta(t, float64(10*MaxReportClasses+3*(maxInstances-10)), offered, 1e-6, "no request is lost")
	b.AddTotals([]Totals{{Service: "s", Domain: "d"}}, start.Add(maxAge+time.Second))
	require.Len(t, b.received, 1, "old totals make room")
}
