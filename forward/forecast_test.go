package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// constantSample returns a full sample in which all durations are alike.
func constantSample(lifetime time.Duration) *sample {
	s := newSample(initialLifetime)
	for range maxSamples {
		s.add(lifetime)
	}
	return &s
}

func TestASampleForgetsTheOldest(t *testing.T) {
	s := constantSample(2 * time.Second)
	require.Equal(t, 2*time.Second, s.mean())
	require.Len(t, s.sorted, maxSamples)
	require.Equal(t, 2*time.Second, s.sorted[0], "what was assumed at first is gone")
	for range maxSamples / 2 {
		s.add(time.Second)
	}
	require.Equal(t, time.Second, s.quantile(0.4))
	require.Equal(t, 2*time.Second, s.quantile(0.6))
}

func TestTheLikelihoodOfAnEndDependsOnTheAge(t *testing.T) {
	s := constantSample(2 * time.Second)
	require.InDelta(t, 0, s.endLikelihood(0, time.Second), 0.01, "a young stream")
	require.InDelta(t, 1, s.endLikelihood(1900*time.Millisecond, 200*time.Millisecond), 0.01, "an old one")
	require.InDelta(t, 0.28, s.endLikelihood(3*time.Second, time.Second), 0.01, "older than any that was seen: as long again")
	require.InDelta(t, 1900, s.timeToEnd(100*time.Millisecond, 0.9, time.Minute).Milliseconds(), float64(timePrecision.Milliseconds()))
	require.Equal(t, time.Second, s.timeToEnd(100*time.Millisecond, 0.9, time.Second), "not before the limit")
}

func TestRoomIsPredictedFromTheStreamsThatEnd(t *testing.T) {
	c := forecast{lifetimes: constantSample(2 * time.Second), placesPerEnd: 1}
	for i := range 20 {
		c.ages = append(c.ages, time.Duration(i)*100*time.Millisecond)
	}
	require.InDelta(t, 1, c.expectedPlaces(100*time.Millisecond), 0.05, "one of twenty streams of two seconds ends in a tenth of a second")
	require.InDelta(t, 3, c.expectedPlaces(300*time.Millisecond), 0.15)
	require.InDelta(t, 30, c.expectedPlaces(3*time.Second), 0.3, "those that follow them end at the same rate")
	require.Greater(t, c.likelihood(1, 300*time.Millisecond), 0.85)
	require.Less(t, c.likelihood(6, 300*time.Millisecond), 0.2, "for the sixth it takes longer")
	require.Zero(t, c.likelihood(1, 0))
	require.InDelta(t, 700, c.timeFor(6, median, time.Minute).Milliseconds(), 150)
	c.placesPerEnd = 2
	require.InDelta(t, 2, c.expectedPlaces(100*time.Millisecond), 0.2, "the streams of others make room as well")
}

// TestAnInstanceWithoutStreamsExpectsRoom guards against an instance that refuses all since it has no streams, and has none since it
// refuses all, as after a cut.
func TestAnInstanceWithoutStreamsExpectsRoom(t *testing.T) {
	q, now := newQueue(), time.Unix(0, 0)
	never := func(*inflight) bool { return false }
	c := q.forecastLocked(now, never)
	require.Greater(t, c.likelihood(1, 5*initialLifetime), minLikelihoodToStart, "a caller who waits for long")
	require.Less(t, c.likelihood(1, initialLifetime/10), minLikelihoodToContinue, "a caller who does not")
	q.addUnderWay(&inflight{}, now)
	stalled := q.forecastLocked(now, func(*inflight) bool { return true })
	require.Zero(t, stalled.likelihood(1, 5*initialLifetime), "streams that stand still show that no room comes")
}

// drawLifetime draws the lifetime of a stream: one second and an exponentially distributed time.
func drawLifetime(random *rand.Rand) time.Duration {
	return time.Duration((1 + random.ExpFloat64()) * float64(time.Second))
}

// drawStream draws the age and lifetime of a stream that is under way at a random moment: longer streams are more likely, and
// all ages are equally likely.
func drawStream(random *rand.Rand) (age, lifetime time.Duration) {
	for {
		lifetime = drawLifetime(random)
		if random.Float64()*float64(10*time.Second) < float64(lifetime) {
			return time.Duration(random.Float64() * float64(lifetime)), lifetime
		}
	}
}

// TestPredictedLikelihoodsAreCalibrated draws streams with fixed seeds and compares the likelihood that was predicted with how
// often the n-th place did become free in time. The instance sees only some of the streams; the number of those that make room
// varies.
func TestPredictedLikelihoodsAreCalibrated(t *testing.T) {
	const streams, rounds, places = 30, 4000, 4
	within := 300 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	predicted, came := 0.0, 0.0
	for range rounds {
		lifetimes := newSample(initialLifetime)
		for range maxSamples {
			lifetimes.add(drawLifetime(random))
		}
		c, freed := forecast{lifetimes: &lifetimes, placesPerEnd: 1}, 0
		for range streams {
			age, _ := drawStream(random)
			c.ages = append(c.ages, age)
		}
		rate := (random.ExpFloat64() + random.ExpFloat64() + random.ExpFloat64()) / dispersion
		for range int(streams*rate + 0.5) {
			if age, lifetime := drawStream(random); lifetime-age <= within {
				freed++
			}
		}
		predicted += c.likelihood(places, within)
		if freed >= places {
			came++
		}
	}
	t.Logf("predicted %.3f, came %.3f", predicted/rounds, came/rounds)
	require.InDelta(t, came/rounds, predicted/rounds, 0.05)
}
