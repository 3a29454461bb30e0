package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/admission"
	"junctioncross/demand"
)

// TestWithinTheRoomNothingIsRefused plays the usual load.
func TestWithinTheRoomNothingIsRefused(t *testing.T) {
	l := scenario{instances: 87, room: 1200, factor: usualLoad, parts: 1, seed: 1}.play(&admission.Settings{Ranks: true})
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

// TestTheLevelHoldsAfterAStep plays a load without chance, of which each instance sees totals that are a second old.
func TestTheLevelHoldsAfterAStep(t *testing.T) {
	const room = 1000.0
	c := admission.New(admission.Settings{Ranks: true}, func() float64 { return 0.5 })
	used, waiting := usualLoad*room, 0.0
	levels := []float64{1, 1, 1}
	var history []demand.Totals
	var moves [][]admission.Level
	for n := range 400 {
		now := time.Unix(1000, 0).Add(time.Duration(n) * slot)
		// By Little's law, the time from the arrival on.
		lifetime := time.Duration(float64(meanLife) * (used + waiting) / used)
		totals := demand.Totals{Instances: 10, UnderWay: int(used), Waiting: int(waiting), Room: room, Lifetime: lifetime}
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
		moves = append(moves, c.AppendLevels(nil))
	}
	require.LessOrEqual(t, largestMove(moves[60:], 2), maxMove, "from 5 s after the step on")
	require.LessOrEqual(t, largestMove(moves[200:], 2), 0.01, "it settles to the percent that metrics show")
	require.InDelta(t, 1, levels[0], 0.01)
	require.InDelta(t, room, used, 0.02*room)
}
