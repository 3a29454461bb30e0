package admission_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/admission"
	"junctioncross/demand"
)

// paceTotals returns totals of eight instances whose room is full and whose queue stands about where it is aimed at; half of the first
// tries of the less urgent rank and some of the returned callers find room.
func paceTotals() demand.Totals {
	return demand.Totals{
		Instances: 8, UnderWay: 300, Waiting: 25, Room: 300, Lifetime: 4300 * time.Millisecond,
		Classes: []demand.Rates{
			{Class: demand.Class{}, Offered: 40}, {Class: demand.Class{Rank: demand.Rank{Route: 1}}, Offered: 60, Returned: 80},
		},
	}
}

// evenly returns how many of so many requests, spread evenly over ticks, arrive in one of these.
func evenly(requests, tick, ticks int) int { return (tick+1)*requests/ticks - tick*requests/ticks }

// admittedReturns lets first tries of the most urgent rank arrive at one of eight instances for three seconds, so many a second, beside the
// usual other requests, and returns how many returned callers are admitted meanwhile.
func admittedReturns(firstTries int) int {
	totals := paceTotals()
	c, now := settled(admission.Settings{Ranks: true}, totals, func() float64 { return 0.5 })
	admitted := 0
	play := func(first int, seconds time.Duration, count bool) {
		const ticks = 100
		for n := range int(seconds/time.Second) * ticks {
			now = now.Add(time.Second / ticks)
			if n%25 == 0 {
				c.Update(&totals, now)
			}
			for range evenly(first, n%ticks, ticks) {
				c.Decide(totals.Classes[0].Class, admission.FirstTry, now)
			}
			for range evenly(8, n%ticks, ticks) {
				c.Decide(totals.Classes[1].Class, admission.FirstTry, now)
			}
			for range evenly(10, n%ticks, ticks) {
				if _, ok := c.Decide(totals.Classes[1].Class, admission.Returned, now).(admission.Admitted); ok && count {
					admitted++
				}
			}
		}
	}
	play(5, 20*time.Second, false)
	play(firstTries, 3*time.Second, true)
	return admitted
}

// TestReturnedCallersMakeUpForChanceInTheOwnRequests guards against room that stays free because few first tries arrive at an instance by
// chance, and against a queue that grows because many do: no totals tell that in time.
func TestReturnedCallersMakeUpForChanceInTheOwnRequests(t *testing.T) {
	usual := admittedReturns(5)
	require.Greater(t, admittedReturns(0), usual, "fewer first tries than usual")
	require.Less(t, admittedReturns(10), usual, "more first tries than usual")
}

// TestTheQueueIsFilledWhileSomeWaitInVain guards against a queue that stays below what is aimed at, so that it empties by chance. A tenth of the
// admitted first tries is refused after its wait.
func TestTheQueueIsFilledWhileSomeWaitInVain(t *testing.T) {
	const room, offered, vain = 1000.0, 325.0, 0.1
	c, now := admission.New(admission.Settings{Ranks: true}, func() float64 { return 0.5 }), time.Unix(1000, 0)
	class := demand.Class{}
	waiting, level := 40.0, 1.0
	for range 240 {
		now = now.Add(slot)
		admitted := offered * level
		lifetime := time.Duration(float64(meanLife) * (room + waiting) / room)
		totals := demand.Totals{Instances: 10, UnderWay: int(room), Waiting: int(waiting), Room: room, Lifetime: lifetime}
		totals.Classes = []demand.Rates{{Class: class, Offered: offered, Refused: offered - admitted*(1-vain)}}
		for i, h := range demand.Horizons {
			totals.Ends[i] = room * min(h.Seconds()/meanLife.Seconds(), 1)
		}
		c.Update(&totals, now)
		level = c.AppendLevels(nil)[0].First
		waiting = max(waiting+(admitted*(1-vain)-room/meanLife.Seconds())*slot.Seconds(), 0)
	}
	deviation := math.Sqrt(room / meanLife.Seconds())
	require.Greater(t, waiting, 2.5*deviation, "a queue of so many standard deviations of a second's arrivals rarely empties")
}

// TestLevelsRiseAtOnceAfterAFallOfAllFirstTries guards against first tries that are refused for seconds after an overload in which no rank
// alone fell by more than chance explains.
func TestLevelsRiseAtOnceAfterAFallOfAllFirstTries(t *testing.T) {
	totals := demand.Totals{Instances: 8, UnderWay: 300, Waiting: 20, Room: 300, Lifetime: 4300 * time.Millisecond}
	for rank, part := range rankShares {
		totals.Classes = append(totals.Classes, demand.Rates{Class: demand.Class{Rank: demand.Rank{Route: rank}}, Offered: 140 * part, Returned: 40})
	}
	c, now := settled(admission.Settings{Ranks: true}, totals, func() float64 { return 0.5 })
	require.Less(t, c.AppendLevels(nil)[2].First, 0.5)
	totals.Waiting = 0
	for rank, part := range rankShares {
		totals.Classes[rank].Offered = 58 * part
	}
	for range int(3 * time.Second / slot) {
		now = now.Add(slot)
		c.Update(&totals, now)
	}
	require.GreaterOrEqual(t, c.AppendLevels(nil)[2].First, 0.95, "three seconds after the fall")
}
