package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const paceStep = 100 * time.Millisecond

// pacedFleet simulates instances that have learned of a server's rate limit at the same time.
type pacedFleet struct {
	random *rand.Rand
	now    time.Time
	limit  float64
	pacers []Pacer
	// sent holds the number of requests in each step.
	sent []int
}

func newPacedFleet(seed uint64, limit float64, instances int) *pacedFleet {
	f := &pacedFleet{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), limit: limit}
	for range instances {
		f.pacers = append(f.pacers, NewPacer(f.now, f.random.Float64()))
	}
	return f
}

// run advances the time by lasts; in each step, each instance has a request for the server with probability demand.
func (f *pacedFleet) run(span time.Duration, demand float64) {
	quota := QuotaOf(f.limit, len(f.pacers))
	for range span / paceStep {
		sent := 0
		for i := range f.pacers {
			if f.random.Float64() < demand && f.pacers[i].Ready(quota, f.now, f.random.Float64()) {
				f.pacers[i].Sent(quota, f.now, f.random.Float64())
				sent++
			}
		}
		f.sent = append(f.sent, sent)
		f.now = f.now.Add(paceStep)
	}
}

// maxLoad returns the greatest number of requests in a window, as a ratio to the number that is allowed.
func (f *pacedFleet) maxLoad() float64 {
	slots, inWindow, most := int(limitWindow/paceStep), 0, 0
	for i, n := range f.sent {
		inWindow += n
		if i >= slots {
			inWindow -= f.sent[i-slots]
		}
		most = max(most, inWindow)
	}
	return float64(most) / (limitShare*limitWindow.Seconds()*f.limit + limitFixed)
}

func TestAllInstancesTogetherKeepToTheLimitOfAServer(t *testing.T) {
	const seeds, busy = 3, 30 * time.Second
	for _, instances := range []int{1, 8, 24, 73, 985} {
		for _, limit := range []float64{0, 1, 4.4, 20, 200} {
			worst := 0.0
			for seed := range uint64(seeds) {
				f := newPacedFleet(seed, limit, instances)
				f.run(busy, 1)
				worst = max(worst, f.maxLoad())
				// All instances have been idle for long and then get requests at once.
				f.run(busy, 0)
				f.run(busy, 1)
				worst = max(worst, f.maxLoad())
				f.run(busy, 0.01)
				f.run(busy, 1)
				worst = max(worst, f.maxLoad())
			}
			require.LessOrEqual(t, worst, 1.0, "limit %.2f, %d instances", limit, instances)
		}
	}
}

func TestAnInstanceThatLearnsOfALimitSendsNothingForAWhile(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewPacer(now, 0)
	quota := QuotaOf(200, 1)
	require.False(t, p.Ready(quota, now.Add(initialDelay-1), 0))
	require.True(t, p.Ready(quota, now.Add(initialDelay), 0))
}

func TestUnusedPermitsExpireOnlyInLargeFleets(t *testing.T) {
	now := time.Unix(0, 0)
	for name, c := range map[string]struct {
		instances int
		ready     bool
	}{"few": {8, true}, "many": {985, false}} {
		p := NewPacer(now, 0)
		require.Equal(t, c.ready, p.Ready(QuotaOf(4.4, c.instances), now.Add(time.Hour), 0.5), name)
	}
}
