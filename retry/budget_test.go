package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/retry"
)

// TestABudgetAppliesNewLimits changes the limit's share and window while retries are taken: the new values apply at once, and
// retries taken before still count.
func TestABudgetAppliesNewLimits(t *testing.T) {
	now := time.Unix(0, 0)
	limit := retry.Limit{Window: 10 * time.Second, Fixed: 2}
	b := retry.NewBudget(limit, now)
	take := func() bool { return b.Take(serviceName, 1, now) }
	requests := func(n int) {
		for range n {
			b.CountRequest(serviceName, 1, now)
		}
	}
	now = now.Add(limit.Window)
	requests(100)
	require.True(t, take(), "the bucket holds half of the fixed number")
	require.False(t, take(), "the limit has no share for requests yet")
	limit.Share = 0.03
	b.SetLimit(limit)
	require.False(t, take(), "the new share applies to later requests only")
	requests(100)
	require.True(t, take())
	require.False(t, take(), "retries taken before still count")
	requests(400)
	limit.Share = 0.002
	b.SetLimit(limit)
	require.True(t, take(), "as much as the bucket holds at most under the new limit")
	require.False(t, take(), "a change never allows more than the new limit does")
	limit.Window, limit.Share = time.Second, 0
	b.SetLimit(limit)
	now = now.Add(time.Second)
	require.True(t, take(), "the shorter window refills the fixed number sooner")
	require.False(t, take())
}

// TestNoWindowHoldsMoreRetriesThanItsRequestsAllow checks every span of the window's length that ends at a retry. The retries
// that it allows follow from the requests of that span and of the one before, which is how the limit is stated to users.
func TestNoWindowHoldsMoreRetriesThanItsRequestsAllow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length = 10 * time.Second
		const share, fixed = 0.2, 7.0
		now := time.Unix(0, 0)
		b := retry.NewBudget(retry.Limit{Window: length, Share: share, Fixed: fixed}, now)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(serviceName, 1, now)
				requests = append(requests, now)
				continue
			}
			if b.Take(serviceName, 1, now) {
				retries = append(retries, now)
				allowed := share*float64(within(requests, now, 2*length)) + fixed
				require.LessOrEqual(t, float64(within(retries, now, length)), allowed)
			}
		}
	})
}

func within(times []time.Time, now time.Time, span time.Duration) int {
	n := 0
	for _, at := range times {
		if now.Sub(at) <= span {
			n++
		}
	}
	return n
}

// TestTheBudgetIsUsedUpWhereRetriesAreWanted checks that the budget is not needlessly strict: instances that want retries all the
// time, one or a hundred of them, make nearly as many as the limit allows in the first window, and half as many after it.
func TestTheBudgetIsUsedUpWhereRetriesAreWanted(t *testing.T) {
	for _, instances := range []int{1, 100} {
		f := newSimulatedFleet(instances, sharedLimit)
		each := func(int) float64 { return 300 / float64(instances) }
		f.run(2*sharedLimit.Window, each, false)
		f.run(sharedLimit.Window, each, true)
		require.InDelta(t, 0.97, f.maxUse(), 0.03, "the first window in which retries are wanted")
		begun := f.now
		f.run(2*sharedLimit.Window, each, true)
		require.InDelta(t, 0.5, float64(between(f.retries, begun, f.now))/(2*f.allowed(f.now)), 0.03, "only the refill is left later")
	}
}
