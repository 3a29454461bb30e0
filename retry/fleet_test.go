package retry_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/retry"
)

const (
	// tick is the step of the simulated time.
	tick        = 50 * time.Millisecond
	serviceName = "service"
)

var sharedLimit = retry.Limit{Window: 10 * time.Second, Share: 0.2, Fixed: 330}

// simulatedFleet simulates instances whose budgets share one limit, and which make as many retries as their budgets allow.
type simulatedFleet struct {
	limit   retry.Limit
	now     time.Time
	budgets []*retry.Budget
	// owedRequests is the fraction of a request that each instance has accumulated towards its next one.
	owedRequests []float64
	requests     []time.Time
	retries      []time.Time
}

func newSimulatedFleet(instances int, limit retry.Limit) *simulatedFleet {
	f := &simulatedFleet{limit: limit, now: time.Unix(0, 0), owedRequests: make([]float64, instances)}
	for range instances {
		f.budgets = append(f.budgets, retry.NewBudget(limit, f.now))
	}
	return f
}

// restart replaces the process of an instance, whose new budget is empty.
func (f *simulatedFleet) restart(instance int) { f.budgets[instance] = retry.NewBudget(f.limit, f.now) }

// resize adds or removes instances; all instances know of the new number at once.
func (f *simulatedFleet) resize(instances int) {
	for len(f.budgets) < instances {
		f.budgets, f.owedRequests = append(f.budgets, retry.NewBudget(f.limit, f.now)), append(f.owedRequests, 0)
	}
	f.budgets, f.owedRequests = f.budgets[:instances], f.owedRequests[:instances]
}

// run advances the time by span; rate returns the requests a second of an instance, and wantsRetries says whether instances make
// retries.
func (f *simulatedFleet) run(span time.Duration, rate func(instance int) float64, wantsRetries bool) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(tick) {
		for i, b := range f.budgets {
			for f.owedRequests[i] += rate(i) * tick.Seconds(); f.owedRequests[i] >= 1; f.owedRequests[i]-- {
				b.CountRequest(serviceName, len(f.budgets), f.now)
				f.requests = append(f.requests, f.now)
			}
			for wantsRetries && b.Take(serviceName, len(f.budgets), f.now) {
				f.retries = append(f.retries, f.now)
			}
		}
	}
}

// maxUse returns the greatest ratio, over all windows of the limit, of the retries in the window to those that are allowed in it.
func (f *simulatedFleet) maxUse() float64 {
	most := 0.0
	for i := range f.retries {
		if i+1 < len(f.retries) && f.retries[i+1].Equal(f.retries[i]) {
			continue
		}
		end := f.retries[i].Add(1)
		most = max(most, float64(between(f.retries, end.Add(-f.limit.Window), end))/f.allowed(end))
	}
	return most
}

// allowed returns the number of retries that the limit allows in the window that ends at end. Of that window, the one before it
// and the one that begins half a window sooner, the one with the most requests counts.
func (f *simulatedFleet) allowed(end time.Time) float64 {
	requests := 0
	for _, sooner := range []time.Duration{0, f.limit.Window / 2, f.limit.Window} {
		last := end.Add(-sooner)
		requests = max(requests, between(f.requests, last.Add(-f.limit.Window), last))
	}
	return f.limit.Share*float64(requests) + f.limit.Fixed
}

// between counts the times in [from, to); times must be sorted.
func between(times []time.Time, from, to time.Time) int {
	at := func(moment time.Time) int {
		n, _ := slices.BinarySearchFunc(times, moment, time.Time.Compare)
		return n
	}
	return at(to) - at(from)
}

// TestRestartsDoNotRenewTheRetryBudget restarts some of the instances, once or several times, while all of them make retries. A
// budget that was full after each start would allow more retries with each restart.
func TestRestartsDoNotRenewTheRetryBudget(t *testing.T) {
	for _, c := range []struct {
		requests float64
		percent  int
		times    int
	}{{282, 0, 0}, {282, 60, 1}, {282, 100, 1}, {282, 60, 3}, {60, 60, 1}, {60, 100, 1}, {60, 100, 4}, {60, 100, 20}} {
		t.Run(fmt.Sprintf("%v requests a second, %d in 100 restart %d times", c.requests, c.percent, c.times), func(t *testing.T) {
			f := newSimulatedFleet(73, sharedLimit)
			each := func(int) float64 { return c.requests / float64(len(f.budgets)) }
			f.run(20*time.Second, each, false)
			f.run(time.Second, each, true)
			for range c.times {
				for i := range len(f.budgets) * c.percent / 100 {
					f.restart(i)
				}
				f.run(time.Second, each, true)
			}
			f.run(20*time.Second, each, true)
			require.NotEmpty(t, f.retries)
			require.LessOrEqual(t, f.maxUse(), 1.0)
		})
	}
}

// TestTheRetryLimitHoldsWhileTrafficMoves sends all requests to one half of the instances and then to the other half.
func TestTheRetryLimitHoldsWhileTrafficMoves(t *testing.T) {
	f := newSimulatedFleet(10, sharedLimit)
	half := func(of int) func(int) float64 {
		return func(i int) float64 { return float64(200 * (1 - (i+of)%2)) }
	}
	f.run(20*time.Second, half(0), false)
	f.run(time.Second, half(0), true)
	f.run(30*time.Second, half(1), true)
	require.LessOrEqual(t, f.maxUse(), 1.0)
}

// TestTheRetryLimitHoldsForTheWholeFleet draws at random: restarts, numbers of instances, request rates of each instance, and
// whether retries are wanted.
func TestTheRetryLimitHoldsForTheWholeFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := retry.Limit{
			Window: time.Duration(rapid.IntRange(1, 12).Draw(t, "window")) * time.Second,
			Share:  rapid.Float64Range(0, 0.5).Draw(t, "share"), Fixed: float64(rapid.IntRange(0, 60).Draw(t, "fixed")),
		}
		f := newSimulatedFleet(rapid.IntRange(1, 12).Draw(t, "instances"), limit)
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			rates := rapid.SliceOfN(rapid.Float64Range(0, 30), len(f.budgets), len(f.budgets)).Draw(t, "rates")
			span := time.Duration(rapid.IntRange(1, 120).Draw(t, "ticks")) * tick
			f.run(span, func(i int) float64 { return rates[i] }, rapid.Bool().Draw(t, "wants"))
			for _, i := range rapid.SliceOf(rapid.IntRange(0, len(f.budgets)-1)).Draw(t, "restarts") {
				f.restart(i)
			}
			if rapid.Bool().Draw(t, "resizes") {
				f.resize(rapid.IntRange(1, 12).Draw(t, "now"))
			}
		}
		require.LessOrEqual(t, f.maxUse(), 1.0)
	})
}
