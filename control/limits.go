package control

import (
	"time"

	"junctioncross/admit"
)

type gate = *admit.Gate

// gapTarget is the mean time between tokens that admission aims at, so that 95 in 100 gaps between tokens stay within 67 ms.
const gapTarget = 56 * time.Millisecond

// setLimits divides the slots of each model among the live instances of the domain in proportion to their demand. While the total
// demand is below the number of slots, an instance may also use the slots that the others do not need.
func (l *Loop) setLimits() {
	if l.index == nil {
		return
	}
	others := l.othersDemand()
	for _, m := range l.index.Document().Models {
		slots := float64(l.slots(m.Name))
		own := l.demand[m.Name]
		fair := slots * (own + 1) / (own + others[m.Name] + float64(max(len(l.members.live), 1)))
		l.deps.Gates.Gate(m.Name).SetLimit(int(max(fair, slots-others[m.Name]) + 0.5))
	}
}

// othersDemand returns the total demand at the other live instances, by model.
func (l *Loop) othersDemand() map[string]float64 {
	out := map[string]float64{}
	for _, name := range l.members.live {
		if name == l.self.Name {
			continue
		}
		for model, d := range l.members.statuses[name].Demand {
			out[model] += d
		}
	}
	return out
}

// slots returns the number of sequences that the model's lanes should run concurrently. Besides the batch that is in a step at
// each server of a lane, one more batch has to wait for its next step; otherwise servers start steps with batches that are not
// full. The time for a token is limited to gapTarget.
func (l *Loop) slots(model string) int {
	total := 0.0
	for _, lane := range l.deps.Snapshots.Current().Graph(model).Lanes() {
		stages := float64(len(lane.Path()))
		cycle := lane.Cycle().Seconds() * (stages + 1) / stages
		total += lane.Rate() * min(cycle, gapTarget.Seconds())
	}
	return int(total + 0.5)
}
