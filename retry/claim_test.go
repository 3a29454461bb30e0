package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/retry"
)

// claimant makes claims of one kind, wanted by each instance per second.
type claimant struct {
	claim         retry.Claim
	perSecond     float64
	wanted, owned int
	owed          float64
}

// play advances the time by span; the claimants of all instances take turns, the least entitled ones first.
func (f *simulatedFleet) play(span time.Duration, rate float64, claimants []*claimant) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(tick) {
		for i, b := range f.budgets {
			for f.owedRequests[i] += rate * tick.Seconds(); f.owedRequests[i] >= 1; f.owedRequests[i]-- {
				b.CountRequest(serviceName, len(f.budgets), f.now)
				f.requests = append(f.requests, f.now)
			}
		}
		for _, c := range claimants {
			for c.owed += c.perSecond * tick.Seconds(); c.owed >= 1; c.owed-- {
				c.wanted++
				if f.budgets[c.wanted%len(f.budgets)].TakeFor(c.claim, serviceName, len(f.budgets), f.now) == retry.Granted {
					c.owned++
					f.retries = append(f.retries, f.now)
				}
			}
		}
	}
}

// TestTheBudgetServesTheMostUrgentThatCanBeInTime plays a demand for retries of twice the budget, from three ranks, half of it late:
// 20 instances with 300 requests a second in all.
func TestTheBudgetServesTheMostUrgentThatCanBeInTime(t *testing.T) {
	f := newSimulatedFleet(20, sharedLimit)
	const rate = 300.0
	refill := 0.5 * (sharedLimit.Share*rate + sharedLimit.Fixed/sharedLimit.Window.Seconds())
	var claimants []*claimant
	for position := 2; position >= 0; position-- {
		for _, late := range []bool{true, false} {
			claim := retry.Claim{Position: position, Ranks: 3, Late: late}
			claimants = append(claimants, &claimant{claim: claim, perSecond: 2 * refill / 6})
		}
	}
	f.play(2*sharedLimit.Window, rate/20, claimants)
	for _, c := range claimants {
		c.wanted, c.owned = 0, 0
	}
	f.play(6*sharedLimit.Window, rate/20, claimants)
	share := func(position int, late bool) float64 {
		for _, c := range claimants {
			if c.claim.Position == position && c.claim.Late == late {
				return float64(c.owned) / float64(c.wanted)
			}
		}
		return 0
	}
	require.Greater(t, share(0, false), 0.99, "the most urgent rank, in time")
	require.Greater(t, share(1, false), share(2, false)-0.01)
	require.Greater(t, share(2, false), share(0, true), "late ones come after all that can be in time")
	require.Less(t, share(2, true), 0.05, "the least urgent late ones")
	require.LessOrEqual(t, f.maxUse(), 1.0, "no window holds more retries than the limit allows")
}

// TestLateRetriesLeaveTheLastPartWhereAllAreEquallyUrgent has a bucket of ten retries and one rank.
func TestLateRetriesLeaveTheLastPartWhereAllAreEquallyUrgent(t *testing.T) {
	limit := retry.Limit{Window: 10 * time.Second, Fixed: 20}
	now := time.Unix(100, 0)
	b := retry.NewBudget(limit, now.Add(-limit.Window))
	late := 0
	for b.TakeFor(retry.Claim{Ranks: 1, Late: true}, serviceName, 1, now) == retry.Granted {
		late++
	}
	require.Equal(t, 5, late)
	verdict, after := b.Check(retry.Claim{Late: true}, serviceName, 1, now)
	require.Equal(t, retry.Kept, verdict)
	require.Equal(t, 500*time.Millisecond, after, "half a retry is missing, one comes in each second")
	for range 5 {
		require.Equal(t, retry.Granted, b.TakeFor(retry.Claim{Ranks: 1}, serviceName, 1, now))
	}
	verdict, after = b.Check(retry.Claim{}, serviceName, 1, now)
	require.Equal(t, retry.Spent, verdict)
	require.Equal(t, time.Second, after)
	require.Equal(t, retry.Spent, b.TakeFor(retry.Claim{}, serviceName, 1, now.Add(after-time.Millisecond)))
	require.Equal(t, retry.Granted, b.TakeFor(retry.Claim{}, serviceName, 1, now.Add(after)))
}

// TestNoClaimIsKeptFromAFullBucket draws limits and claims: whoever may not take from a bucket that holds all it can would never
// get a retry.
func TestNoClaimIsKeptFromAFullBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := retry.Limit{Window: 10 * time.Second, Fixed: rapid.Float64Range(0, 50).Draw(t, "fixed")}
		now := time.Unix(100, 0)
		b := retry.NewBudget(limit, now.Add(-2*limit.Window))
		ranks := rapid.IntRange(0, 12).Draw(t, "ranks")
		c := retry.Claim{Ranks: ranks, Position: rapid.IntRange(0, 12).Draw(t, "position"), Late: rapid.Bool().Draw(t, "late")}
		if limit.Fixed < 2 {
			require.Equal(t, retry.Spent, b.TakeFor(c, serviceName, 1, now))
			return
		}
		require.Equal(t, retry.Granted, b.TakeFor(c, serviceName, 1, now))
	})
}

// TestAReturnedRetryLeavesTheBudgetAsIfItHadNotBeenTaken plays two budgets side by side; one of them takes retries besides that are
// returned later.
func TestAReturnedRetryLeavesTheBudgetAsIfItHadNotBeenTaken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := retry.Limit{Window: 10 * time.Second, Share: 0.2, Fixed: 7}
		now := time.Unix(100, 0)
		plain, other := retry.NewBudget(limit, now), retry.NewBudget(limit, now)
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			// Both count requests from the same time on.
			plain.Allowance(serviceName, 1, now)
			taken, took := now, other.TakeFor(retry.Claim{}, serviceName, 1, now) == retry.Granted
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "held")) * time.Millisecond)
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				plain.CountRequest(serviceName, 1, now)
				other.CountRequest(serviceName, 1, now)
			}
			if took {
				other.Return(serviceName, taken, 1, now)
			}
			left := other.Allowance(serviceName, 1, now).Left
			require.LessOrEqual(t, left, plain.Allowance(serviceName, 1, now).Left+1e-9, "never more than without")
		}
	})
}

// TestARetryReturnedInTimeCanBeTakenAgain returns one retry at once and one after the bucket would have been full.
func TestARetryReturnedInTimeCanBeTakenAgain(t *testing.T) {
	limit := retry.Limit{Window: 10 * time.Second, Fixed: 8}
	now := time.Unix(100, 0)
	b := retry.NewBudget(limit, now.Add(-limit.Window))
	left := func() float64 { return b.Allowance(serviceName, 1, now).Left }
	taken := now
	require.Equal(t, 4.0, left())
	for range 2 {
		require.True(t, b.Take(serviceName, 1, now))
	}
	b.Return(serviceName, taken, 1, now)
	require.Equal(t, 3.0, left())
	now = now.Add(limit.Window)
	b.Return(serviceName, taken, 1, now)
	require.Equal(t, 4.0, left(), "no more than the bucket holds")
	require.True(t, b.Take(serviceName, 1, now))
	b.Return(serviceName, taken, 1, now)
	require.Equal(t, 3.0, left(), "it was dropped")
}
