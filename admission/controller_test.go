package admission_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/admission"
	"junctioncross/demand"
)

// rankTotals returns totals of a full room for which ranks classes compete.
func rankTotals(ranks int) demand.Totals {
	t := demand.Totals{Instances: 985, UnderWay: 4000, Waiting: 80, Room: 4000, Lifetime: 4 * time.Second}
	for rank := range ranks {
		r := demand.Rates{Class: demand.Class{Rank: demand.Rank{Route: rank}}, Offered: 1500 / float64(ranks), Returned: 100}
		t.Classes = append(t.Classes, r)
	}
	return t
}

// settled returns a controller whose levels have settled on the totals.
func settled(s admission.Settings, t demand.Totals, random func() float64) (*admission.Controller, time.Time) {
	c, now := admission.New(s, random), time.Unix(1000, 0)
	for range 40 {
		now = now.Add(slot)
		c.Update(&t, now)
	}
	return c, now
}

// TestTheShareHoldsInSumOverManyInstances lets 985 instances decide on a few requests each.
func TestTheShareHoldsInSumOverManyInstances(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	totals := rankTotals(2)
	for _, requests := range []int{1, 2, 5} {
		admitted, level := 0, 0.0
		for range 985 {
			c, now := settled(admission.Settings{Ranks: true}, totals, random.Float64)
			level = c.AppendLevels(nil)[1].First
			for range requests {
				if _, ok := c.Decide(totals.Classes[1].Class, admission.FirstTry, now).(admission.Admitted); ok {
					admitted++
				}
			}
		}
		require.Less(t, level, 0.8)
		require.InDelta(t, level, float64(admitted)/float64(985*requests), 0.04)
	}
}

func TestRefusalsNameTheRankAndItsLevel(t *testing.T) {
	totals := rankTotals(3)
	c, now := settled(admission.Settings{Ranks: true}, totals, func() float64 { return 0 })
	refused, ok := c.Decide(totals.Classes[2].Class, admission.FirstTry, now).(admission.Refused)
	require.True(t, ok)
	require.Equal(t, admission.Refused{Reason: admission.ReasonRank, Rank: demand.Rank{Route: 2}, Level: refused.Level}, refused)
	require.Equal(t, admission.Admitted{}, c.Decide(totals.Classes[2].Class, admission.Resumed, now), "it has begun")
	require.Equal(t, admission.Admitted{}, c.Decide(totals.Classes[0].Class, admission.FirstTry, now), "it is the most urgent")
}

// TestWithoutNewTotalsNothingIsRefused lets totals become old, and then unknown.
func TestWithoutNewTotalsNothingIsRefused(t *testing.T) {
	totals := rankTotals(3)
	for _, lose := range []func(c *admission.Controller, now time.Time) time.Time{
		func(_ *admission.Controller, now time.Time) time.Time { return now.Add(10 * time.Second) },
		func(c *admission.Controller, now time.Time) time.Time { c.Clear(); return now },
	} {
		c, now := settled(admission.Settings{Ranks: true}, totals, func() float64 { return 0 })
		now = lose(c, now)
		for range 100 {
			require.Equal(t, admission.Admitted{}, c.Decide(totals.Classes[2].Class, admission.FirstTry, now))
		}
	}
}

// TestReturnsTakeAPartOfARankOnlyWhileItsFirstTriesAreRefused has many returned callers of one rank.
func TestReturnsTakeAPartOfARankOnlyWhileItsFirstTriesAreRefused(t *testing.T) {
	totals := rankTotals(1)
	totals.Classes[0].Returned = 3000
	c, _ := settled(admission.Settings{Ranks: true}, totals, func() float64 { return 0 })
	level := c.AppendLevels(nil)[0]
	first, returned := level.First*totals.Classes[0].Offered, level.Returned*totals.Classes[0].Returned
	require.InDelta(t, 0.1, returned/(first+returned), 0.02)
}

// absurd returns a change of totals that no service can have.
func absurd(x float64) []func(*demand.Totals) {
	return []func(*demand.Totals){
		func(t *demand.Totals) { t.Room = x },
		func(t *demand.Totals) { t.Ends[2] = x },
		func(t *demand.Totals) { t.Classes[1].Offered = x },
		func(t *demand.Totals) { t.Classes[1].Refused = x },
		func(t *demand.Totals) { t.Classes[1].Returned = x },
		func(t *demand.Totals) { t.Classes[1].Class.Rank.Route = -1 },
		func(t *demand.Totals) { t.UnderWay = -1 },
		func(t *demand.Totals) { t.Waiting = math.MaxInt },
		func(t *demand.Totals) { t.Lifetime = -time.Second },
		func(t *demand.Totals) { t.Lifetime = math.MaxInt64 },
		func(t *demand.Totals) { t.Age = time.Minute },
		func(t *demand.Totals) { t.Instances = 0 },
	}
}

func TestAbsurdTotalsMoveNoLevel(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300} {
		for n, change := range absurd(x) {
			t.Run(fmt.Sprint(x, " ", n), func(t *testing.T) {
				c, now := settled(admission.Settings{Ranks: true}, rankTotals(3), func() float64 { return 0 })
				before := c.AppendLevels(nil)
				wrong := rankTotals(3)
				change(&wrong)
				require.False(t, c.Update(&wrong, now.Add(slot)))
				require.Equal(t, before, c.AppendLevels(nil))
			})
		}
	}
}

// FuzzLevels checks that whatever totals come, levels stay within 0 and 1 and keep the order of the ranks.
func FuzzLevels(f *testing.F) {
	f.Add(100, 3, 100.0, 4.0, 20.0, 30.0, 5.0, 9.0)
	f.Add(0, 0, 1e-300, 1e-9, 1e7, 1e-300, 0.0, 1e7)
	f.Fuzz(func(t *testing.T, underWay, waiting int, room, lifetime, first, second, returned, ends float64) {
		c, now := admission.New(admission.Settings{Ranks: true}, func() float64 { return 0.5 }), time.Unix(1000, 0)
		totals := demand.Totals{Instances: 3, UnderWay: underWay, Waiting: waiting, Room: room, Lifetime: time.Duration(lifetime * 1e9)}
		totals.Ends[2] = ends
		totals.Classes = []demand.Rates{
			{Class: demand.Class{Rank: demand.Rank{Route: 1}}, Offered: second, Returned: returned}, {Offered: first, Refused: first / 2},
		}
		for range 20 {
			now = now.Add(slot)
			c.Update(&totals, now)
			former := 1.0
			for _, level := range c.AppendLevels(nil) {
				require.True(t, level.First >= 0 && level.First <= former+1e-9, "%v", level)
				require.True(t, level.Returned >= 0 && level.Returned <= 1, "%v", level)
				former = level.First
			}
		}
	})
}

func TestADecisionAllocatesNothing(t *testing.T) {
	totals := rankTotals(8)
	c, now := settled(admission.Settings{Ranks: true, Accounts: true}, totals, func() float64 { return 0.5 })
	levels := make([]admission.Level, 0, 8)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		now = now.Add(slot)
		c.Update(&totals, now)
		c.Decide(totals.Classes[3].Class, admission.FirstTry, now)
		levels = c.AppendLevels(levels[:0])
	}))
}

func BenchmarkDecision(b *testing.B) {
	totals := rankTotals(8)
	c, now := settled(admission.Settings{Ranks: true}, totals, func() float64 { return 0.5 })
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(slot)
		c.Update(&totals, now)
		c.Decide(totals.Classes[3].Class, admission.FirstTry, now)
	}
}
