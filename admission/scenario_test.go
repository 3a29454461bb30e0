package admission_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"junctioncross/admission"
	"junctioncross/demand"
)

const (
	// The load is above the room from start to end; whole is the length of a play.
	start = 10 * time.Second
	end   = 30 * time.Second
	whole = 40 * time.Second
	// usualLoad is the load before and after, as a multiple of the room.
	usualLoad = 0.8
)

// rankShares are the parts of the three ranks, the most urgent first, in the usual load.
var rankShares = []float64{0.3, 0.4, 0.3}

// overload returns a load that rises to a multiple of the room, of all ranks or as a burst of the most urgent one.
func overload(room, factor float64, burst bool) traffic {
	return func(at time.Duration) map[demand.Class]float64 {
		out := map[demand.Class]float64{}
		for rank, part := range rankShares {
			rate := usualLoad * part
			switch over := at >= start && at < end; {
			case over && !burst:
				rate = factor * part
			case over && rank == 0:
				rate += factor - usualLoad
			}
			out[demand.Class{Rank: demand.Rank{Account: rank, Route: rank}}] = rate * room / meanLife.Seconds()
		}
		return out
	}
}

// scenario is a fleet and its overload. Totals are up to a second old, and a fifth of them is lost.
type scenario struct {
	instances int
	room      float64
	factor    float64
	burst     bool
	// parts is 2 if the instances are cut into halves that do not know of each other.
	parts int
	seed  uint64
}

var (
	smallFleet = scenario{instances: 8, room: 300}
	usualFleet = scenario{instances: 87, room: 1200}
	largeFleet = scenario{instances: 985, room: 4000}
)

// shapes returns steps and bursts of the factors in a whole fleet and in one that is cut, with the seeds from 1 on.
func (s scenario) shapes(seeds int, factors ...float64) []scenario {
	return s.shapesFrom(1, seeds, factors...)
}

// shapesFrom is like shapes, with the seeds from first on.
func (s scenario) shapesFrom(first uint64, seeds int, factors ...float64) []scenario {
	var out []scenario
	for _, factor := range factors {
		for n := range 4 * seeds {
			s.factor, s.burst, s.parts, s.seed = factor, n%2 == 1, 1+n/2%2, first+uint64(n/4)
			out = append(out, s)
		}
	}
	return out
}

// scenarios returns all scenarios; of the large fleet, only a burst of 1.3 times the room.
func scenarios() []scenario {
	out := append(smallFleet.shapes(5, 1.1, 1.3, 2), usualFleets()...)
	large := largeFleet
	large.factor, large.burst, large.parts, large.seed = 1.3, true, 1, 1
	return append(out, large)
}

// usualFleets has fewer seeds where a play takes long and less is asked for.
func usualFleets() []scenario {
	return append(usualFleet.shapes(5, 1.3), usualFleet.shapes(1, 1.1, 2)...)
}

func (s scenario) play(settings *admission.Settings) *load {
	l := newLoad(s.seed, s.instances, s.room, settings, s.parts, 0.2, overload(s.room, s.factor, s.burst))
	l.play(whole)
	return l
}

// result is what callers got in a scenario, with admission and without.
type result struct {
	during, after, former map[int]counts
	work, formerWork      int
	levels                [][]admission.Level
}

// all returns the counts of all ranks.
func (r *result) all() counts {
	sum := counts{}
	for _, n := range r.during {
		sum.callers, sum.served = sum.callers+n.callers, sum.served+n.served
	}
	return sum
}

// results holds a function that plays a scenario once, and formers the same without admission.
var results, formers sync.Map

// played plays a scenario once for all tests.
func (s scenario) played() *result {
	once, _ := results.LoadOrStore(s, sync.OnceValue(func() *result {
		with, without := s.play(&admission.Settings{Ranks: true}), s.playedWithout()
		return &result{
			during: count(with, start, end, rankOf), after: count(with, end+3*time.Second, whole-time.Second, rankOf),
			former: count(without, start, end, rankOf), work: with.work(start, end), formerWork: without.work(start, end), levels: with.levels,
		}
	}))
	return once.(func() *result)()
}

// playedWithout plays a scenario without admission, where a cut fleet is like a whole one.
func (s scenario) playedWithout() *load {
	s.parts = 1
	once, _ := formers.LoadOrStore(s, sync.OnceValue(func() *load { return s.play(nil) }))
	return once.(func() *load)()
}

func rankOf(c demand.Class) int { return c.Rank.Route }

// check runs a check on the results of scenarios.
func check(t *testing.T, scenarios []scenario, f func(t *testing.T, s scenario, r *result)) {
	for _, s := range scenarios {
		t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
			t.Parallel()
			f(t, s, s.played())
		})
	}
}
