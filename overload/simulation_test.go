package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model: a stream costs processor time when it begins and then evenly until it ends; what the processor does not get done waits, and an
// event that waits for longer than passLimit is late. A caller whose connection is shed asks another instance.
const (
	step        = 10 * time.Millisecond
	streamLasts = 3500 * time.Millisecond
	beginCost   = 600 * time.Microsecond
	runCost     = 1300 * time.Microsecond
	// shedCost is what it takes to accept and close a connection.
	shedCost  = 60 * time.Microsecond
	passLimit = 200 * time.Millisecond
	// smallCores is the processor of most instances of the large deployments.
	smallCores = 0.192
	tries      = 2
	// contact is how long after its start the skew may cost callers something, and served the share of requests that are in time after it.
	contact = 4 * time.Second
	served  = 0.9
)

// modelInstance is one instance of the model.
type modelInstance struct {
	gate    gate
	limits  Limits
	begun   []time.Duration
	late    map[int]bool
	backlog time.Duration
	used    time.Duration
	history []measurement
}

func newModelInstance(cores float64) *modelInstance {
	return &modelInstance{gate: newGate(), limits: Limits{Cores: cores}, late: map[int]bool{}}
}

// play lets one step pass.
func (m *modelInstance) play(now time.Duration) {
	running := 0
	for _, at := range m.begun {
		if now-at < streamLasts {
			running++
		}
	}
	m.backlog += time.Duration(float64(running) * float64(runCost) * float64(step) / float64(streamLasts))
	done := min(m.backlog, time.Duration(m.limits.Cores*float64(step)))
	m.backlog -= done
	m.used += done
	if m.delay() > passLimit {
		for n, at := range m.begun {
			if now-at < streamLasts {
				m.late[n] = true
			}
		}
	}
	if now%period == 0 {
		m.measure()
	}
}

// delay returns for how long work waits for the processor.
func (m *modelInstance) delay() time.Duration {
	return time.Duration(float64(m.backlog) / m.limits.Cores)
}

func (m *modelInstance) measure() {
	m.history = append(m.history, measurement{usage: usage{processor: m.used}, wait: m.delay()})
	if len(m.history) <= spanPeriods {
		return
	}
	former, now := m.history[0], m.history[len(m.history)-1]
	m.history = m.history[1:]
	m.gate.adjust(m.limits.pressureOn(former.usage, now.usage, spanPeriods*period, meanWait(m.history)).Most())
}

// connect has a caller connect and reports whether its request was read.
func (m *modelInstance) connect(now time.Duration) bool {
	if !m.gate.take(time.Unix(0, 0).Add(now)) {
		m.backlog += shedCost
		return false
	}
	m.backlog += beginCost
	m.begun = append(m.begun, now)
	return true
}

// skew is one play of the model.
type skew struct {
	instances int
	// hot is how many instances get nine tenths of the new connections of a domain, of which there are four.
	hot int
	// perSecond is the number of requests a second in the domain, beyond some that come to all instances evenly.
	perSecond float64
	seed      uint64
}

// result is how many requests came after the contact time, how many of them were read, and how many of these were in time; and how many
// of the rest of the fleet were.
type result struct{ asked, read, inTime int }

func (s skew) play() result {
	random := rand.New(rand.NewPCG(s.seed, 1))
	domain := make([]*modelInstance, max(s.instances/4, s.hot+1))
	for n := range domain {
		domain[n] = newModelInstance(smallCores)
	}
	const lasts = 12 * time.Second
	asked, due := 0, 0.0
	for now := step; now < lasts; now += step {
		for due += s.perSecond * step.Seconds(); due >= 1; due-- {
			if now >= contact {
				asked++
			}
			for try := range tries {
				at := random.IntN(len(domain))
				if try == 0 && random.Float64() < 0.9 {
					at = random.IntN(s.hot)
				}
				if domain[at].connect(now) {
					break
				}
			}
		}
		for _, m := range domain {
			m.play(now)
		}
	}
	return count(domain, asked)
}

// count adds up the requests that began after the contact time.
func count(domain []*modelInstance, asked int) result {
	out := result{asked: asked}
	for _, m := range domain {
		for n, at := range m.begun {
			if at < contact {
				continue
			}
			out.read++
			if !m.late[n] {
				out.inTime++
			}
		}
	}
	return out
}

func TestCallersAreServedWhileMostNewConnectionsGoToFewInstances(t *testing.T) {
	for _, s := range []skew{
		{instances: 8, hot: 1, perSecond: 80},
		{instances: 83, hot: 1, perSecond: 203},
		{instances: 83, hot: 1, perSecond: 406},
		{instances: 83, hot: 3, perSecond: 406},
		{instances: 295, hot: 1, perSecond: 900},
		{instances: 985, hot: 1, perSecond: 900},
		{instances: 985, hot: 5, perSecond: 2000},
	} {
		for seed := range uint64(5) {
			s.seed = seed
			t.Run(fmt.Sprintf("%d of %d, %.0f a second, seed %d", s.hot, s.instances, s.perSecond, seed), func(t *testing.T) {
				r := s.play()
				t.Logf("%+v", r)
				require.GreaterOrEqual(t, float64(r.read), served*float64(r.asked), "read")
				require.GreaterOrEqual(t, float64(r.inTime), served*float64(r.read), "in time")
			})
		}
	}
}

// TestADomainThatIsOverloadedWholeServesWhatItCan guards against instances that send callers round among each other.
func TestADomainThatIsOverloadedWholeServesWhatItCan(t *testing.T) {
	const instances, cost = 8, (beginCost + runCost)
	room := float64(instances) * smallCores / cost.Seconds()
	for _, times := range []float64{0.6, 1, 1.5, 2} {
		t.Run(fmt.Sprintf("%.1f times the room", times), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			domain := make([]*modelInstance, instances)
			for n := range domain {
				domain[n] = newModelInstance(smallCores)
			}
			asked, due := 0, 0.0
			for now := step; now < 20*time.Second; now += step {
				for due += times * room * step.Seconds(); due >= 1; due-- {
					if now >= contact {
						asked++
					}
					for range tries {
						if domain[random.IntN(instances)].connect(now) {
							break
						}
					}
				}
				for _, m := range domain {
					m.play(now)
				}
			}
			r := count(domain, asked)
			t.Logf("%+v, room for %.0f", r, room*16)
			require.GreaterOrEqual(t, float64(r.inTime), served*float64(r.read), "in time")
			require.GreaterOrEqual(t, float64(r.read), min(times, 0.75)/times*0.95*float64(r.asked), "read")
		})
	}
}

func TestAnInstanceWithRoomShedsNothing(t *testing.T) {
	m := newModelInstance(smallCores)
	for now := step; now < 20*time.Second; now += step {
		if now%(20*time.Millisecond) == 0 {
			require.True(t, m.connect(now), "at %s", now)
		}
		m.play(now)
	}
}

func TestAnOverloadedInstanceTakesAConnectionNowAndThen(t *testing.T) {
	const contactTime = 3 * time.Second
	g, taken := newGate(), time.Unix(0, 0)
	for now := taken; now.Before(time.Unix(60, 0)); now = now.Add(step) {
		g.adjust(10)
		if g.take(now) {
			taken = now
		}
		require.Less(t, now.Sub(taken), contactTime)
	}
}

// TestASingleStopOfTheProcessIsNoOverload guards against connections that are shed after the process was stopped once.
func TestASingleStopOfTheProcessIsNoOverload(t *testing.T) {
	history := make([]measurement, spanPeriods)
	history[2].wait = 10 * time.Second
	require.Less(t, Limits{}.pressureOn(usage{}, usage{}, spanPeriods*period, meanWait(history)).Most(), 1.0)
	for n := range history {
		history[n].wait = 10 * time.Second
	}
	require.Greater(t, Limits{}.pressureOn(usage{}, usage{}, spanPeriods*period, meanWait(history)).Most(), 1.0)
}
