package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

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

// scenario is a fleet and its overload.
type scenario struct {
	instances int
	room      float64
	factor    float64
	burst     bool
	// parts is 2 if the instances are cut into halves that do not know of each other.
	parts int
	// turns is how often a level may change its direction by more than a tenth: few streams vary much by chance.
	turns int
}

func scenarios() []scenario {
	var out []scenario
	for _, fleet := range []scenario{{instances: 8, room: 300, turns: 24}, {instances: 87, room: 1200, turns: 16}, {instances: 985, room: 4000, turns: 14}} {
		for _, factor := range []float64{1.1, 1.3, 2} {
			for n := range 4 {
				s := fleet
				s.factor, s.burst, s.parts = factor, n%2 == 1, 1+n/2
				out = append(out, s)
			}
		}
	}
	return out
}

func (s scenario) play(settings *admission.Settings) *load {
	l := newLoad(1, s.instances, s.room, settings, s.parts, 0.2, overload(s.room, s.factor, s.burst))
	l.play(whole)
	return l
}

func rankOf(c demand.Class) int { return c.Rank.Route }

// TestOverloadReachesTheLeastUrgentFirst plays steps and bursts of 1.1, 1.3 and 2 times the room, with totals that are up to a
// second old, of which a fifth is lost, and that come from one half of the instances only.
func TestOverloadReachesTheLeastUrgentFirst(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(fmt.Sprintf("%+v", s), func(t *testing.T) {
			t.Parallel()
			l, without := s.play(&admission.Settings{Ranks: true}), s.play(nil)
			during, after := count(l, start, end, rankOf), count(l, end+3*time.Second, whole-time.Second, rankOf)
			all := counts{}
			for rank := range rankShares {
				all.callers, all.served = all.callers+during[rank].callers, all.served+during[rank].served
			}
			for rank := range rankShares {
				served := during[rank].served / during[rank].callers
				require.GreaterOrEqual(t, served, all.served/all.callers/4, "rank %d is not passed over", rank)
				if rank > 0 {
					require.GreaterOrEqual(t, during[rank-1].served/during[rank-1].callers, served, "rank %d is more urgent", rank-1)
				}
				require.GreaterOrEqual(t, after[rank].inTime/after[rank].callers, 0.92, "rank %d is served again", rank)
			}
			if s.factor <= 1.3 {
				require.GreaterOrEqual(t, during[0].inTime/during[0].callers, 0.95)
			}
			former := count(without, start, end, rankOf)[0]
			require.GreaterOrEqual(t, during[0].inTime/during[0].callers, former.inTime/former.callers-0.03)
			require.GreaterOrEqual(t, float64(l.work(start, end)), 0.98*float64(without.work(start, end)))
			for rank := range rankShares {
				require.LessOrEqual(t, l.turns(rank), s.turns, "the level of rank %d", rank)
			}
		})
	}
}

// TestWithinTheRoomNothingIsRefused plays the usual load.
func TestWithinTheRoomNothingIsRefused(t *testing.T) {
	l := scenario{instances: 87, room: 1200, factor: usualLoad, parts: 1}.play(&admission.Settings{Ranks: true})
	for _, levels := range l.levels {
		for _, level := range levels {
			require.InDelta(t, 1, level.First, 1e-9)
		}
	}
}

// TestRoomThatIsNotUsedByTheUrgentGoesToOthers plays a load of the least urgent rank alone.
func TestRoomThatIsNotUsedByTheUrgentGoesToOthers(t *testing.T) {
	least := demand.Class{Rank: demand.Rank{Account: 2, Route: 2}}
	l := newLoad(1, 87, 1200, &admission.Settings{Ranks: true}, 1, 0, func(time.Duration) map[demand.Class]float64 {
		return map[demand.Class]float64{least: 1.5 * 1200 / meanLife.Seconds()}
	})
	l.play(whole)
	require.Greater(t, float64(l.work(start, end)), 0.97*1200/meanLife.Seconds()*(end-start).Seconds())
}

// TestAStepMovesTheLevelOnce plays a load without chance, of which each instance sees totals that are a second old.
func TestAStepMovesTheLevelOnce(t *testing.T) {
	const room = 1000.0
	c := admission.New(admission.Settings{Ranks: true}, func() float64 { return 0.5 })
	used, waiting := usualLoad*room, 0.0
	levels := []float64{1, 1, 1}
	var history []demand.Totals
	var turns, direction int
	extreme := 1.0
	for n := range 400 {
		now := time.Unix(1000, 0).Add(time.Duration(n) * slot)
		totals := demand.Totals{Instances: 10, UnderWay: int(used), Waiting: int(waiting), Room: room, Lifetime: meanLife}
		admitted := 0.0
		for rank, part := range rankShares {
			offered := usualLoad * part * room / meanLife.Seconds()
			if n >= 40 {
				offered = 1.3 * part * room / meanLife.Seconds()
			}
			admitted += offered * levels[rank]
			totals.Classes = append(totals.Classes, demand.Rates{Class: demand.Class{Rank: demand.Rank{Route: rank}}, Offered: offered})
		}
		for i, h := range demand.Horizons {
			totals.Ends[i] = used * min(h.Seconds()/meanLife.Seconds(), 1)
		}
		history = append(history, totals)
		c.Update(&history[max(len(history)-1-windowSlots, 0)], now)
		for rank, level := range c.AppendLevels(nil) {
			levels[rank] = level.First
		}
		used += (admitted - used/meanLife.Seconds()) * slot.Seconds()
		waiting = max(waiting+used-room, 0)
		used = min(used, room)
		taken := min(room-used, waiting)
		used, waiting = used+taken, waiting-taken
		for _, sign := range []int{1, -1} {
			if delta := float64(sign) * (levels[2] - extreme); delta > 0.02 && direction != sign {
				turns, direction = turns+1, sign
			}
		}
		if float64(direction)*(levels[2]-extreme) > 0 {
			extreme = levels[2]
		}
	}
	require.LessOrEqual(t, turns, 5)
	require.InDelta(t, 1, levels[0], 0.01)
	require.InDelta(t, room, used, 0.02*room)
}
