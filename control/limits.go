package control

import (
	"time"

	"junctioncross/admit"
)

type gate = *admit.Gate

// gapTarget is the mean time between tokens that admission aims at; 95 in 100 are to stay within 67 ms.
const gapTarget = 56 * time.Millisecond

// setLimits divides the places of each model among the live instances of the domain by what is asked for at each. While all
// of it has room, an instance may use what the others leave.
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

// slots returns the sequences that the model's lanes should carry at once. While a batch is in a step of each server, one
// more has to wait for the next step, or servers start with batches that are not full; but a token must not take longer
// than gapTarget.
func (l *Loop) slots(model string) int {
	total := 0.0
	for _, lane := range l.deps.Board.Current().Graph(model).Lanes() {
		stages := float64(len(lane.Path()))
		cycle := lane.Cycle().Seconds() * (stages + 1) / stages
		total += lane.Rate() * min(cycle, gapTarget.Seconds())
	}
	return int(total + 0.5)
}
