package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const paceStep = 100 * time.Millisecond

// pacedFleet is a number of instances in simulated time that a server has told its limit.
type pacedFleet struct {
	random *rand.Rand
	now    time.Time
	limit  float64
	paces  []Pace
	// sent holds the requests of each step.
	sent []int
}

func newPacedFleet(seed uint64, limit float64, instances int) *pacedFleet {
	f := &pacedFleet{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), limit: limit}
	for range instances {
		f.paces = append(f.paces, NewPace(f.now, f.random.Float64()))
	}
	return f
}

// play lets each instance have a request for the server with a likelihood in each step.
func (f *pacedFleet) play(lasts time.Duration, demand float64) {
	part := PartOf(f.limit, len(f.paces))
	for range lasts / paceStep {
		sent := 0
		for i := range f.paces {
			if f.random.Float64() < demand && f.paces[i].Ready(part, f.now, f.random.Float64()) {
				f.paces[i].Sent(part, f.now, f.random.Float64())
				sent++
			}
		}
		f.sent = append(f.sent, sent)
		f.now = f.now.Add(paceStep)
	}
}

// worst returns the most requests in a window by what is allowed in it.
func (f *pacedFleet) worst() float64 {
	slots, in, most := int(limitWindow/paceStep), 0, 0
	for i, n := range f.sent {
		in += n
		if i >= slots {
			in -= f.sent[i-slots]
		}
		most = max(most, in)
	}
	return float64(most) / (limitShare*limitWindow.Seconds()*f.limit + limitFixed)
}

func TestAllInstancesTogetherKeepToTheLimitOfAServer(t *testing.T) {
	const draws, busy = 3, 30 * time.Second
	for _, instances := range []int{1, 8, 24, 73, 985} {
		for _, limit := range []float64{0, 1, 4.4, 20, 200} {
			worst := 0.0
			for seed := range uint64(draws) {
				f := newPacedFleet(seed, limit, instances)
				f.play(busy, 1)
				worst = max(worst, f.worst())
				// All have rested for long, and are all asked at once.
				f.play(busy, 0)
				f.play(busy, 1)
				worst = max(worst, f.worst())
				f.play(busy, 0.01)
				f.play(busy, 1)
				worst = max(worst, f.worst())
			}
			require.LessOrEqual(t, worst, 1.0, "limit %.2f, %d instances", limit, instances)
		}
	}
}

func TestAnInstanceThatHearsOfALimitSendsNothingForAWhile(t *testing.T) {
	now := time.Unix(0, 0)
	p := NewPace(now, 0)
	part := PartOf(200, 1)
	require.False(t, p.Ready(part, now.Add(debtTime-1), 0))
	require.True(t, p.Ready(part, now.Add(debtTime), 0))
}

func TestAFewInstancesKeepATurnThatManyWouldLose(t *testing.T) {
	now := time.Unix(0, 0)
	for name, c := range map[string]struct {
		instances int
		ready     bool
	}{"few": {8, true}, "many": {985, false}} {
		p := NewPace(now, 0)
		require.Equal(t, c.ready, p.Ready(PartOf(4.4, c.instances), now.Add(time.Hour), 0.5), name)
	}
}
