package control

import (
	"junctioncross/admit"
)

type gate = *admit.Gate

// setLimits divides the places of each model among the live instances of the domain by their demand.
func (l *Loop) setLimits() {
	if l.index == nil {
		return
	}
	others := l.othersDemand()
	peers := max(len(l.members.live), 1)
	for _, m := range l.index.Document().Models {
		g := l.deps.Gates.Gate(m.Name)
		places := l.places(m.Name)
		own := float64(g.Demand() + 1)
		total := own + float64(others[m.Name]) + float64(peers-1)
		g.SetLimit(int(float64(places)*own/total + 0.5))
	}
}

func (l *Loop) othersDemand() map[string]int {
	out := map[string]int{}
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

// places returns the sequences that the model's servers can work on at once: each is in exactly one stage at a time, so
// that all servers together are busy when every batch is full.
func (l *Loop) places(model string) int {
	total := 0
	for _, b := range l.backends {
		if b.serving(model) && b.kind != nil {
			total += b.kind.MaxBatch
		}
	}
	return total
}
