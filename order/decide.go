package order

import (
	"sort"

	"junctioncross/engine"
	"junctioncross/models"
)

// Target is what a backend server should hold: Layers of a model that has Total layers. ChecksFence is true if the server
// checks the fence of an order.
type Target struct {
	Name        string
	Addr        string
	Model       string
	Version     string
	Total       int
	Layers      models.Layers
	ChecksFence bool
}

// Seen is the last known state of a backend server. Silent is true if the server does not answer.
type Seen struct {
	Silent  bool
	Leaving bool
	State   engine.State
	Model   string
	Version string
	Layers  models.Layers
}

func (s Seen) matches(t Target) bool {
	return s.Model == t.Model && s.Version == t.Version && s.Layers == t.Layers
}

// Decision says what the leader does next.
type Decision struct {
	// Send lists the servers to which the order can be sent now.
	Send []Target
	// Drain lists the servers that must get no new work and finish what they run before the order can be sent to them.
	Drain []Target
}

// Decide compares the targets with the servers' last known states. A server that serves something else must be drained first.
// At most maxMoves servers are drained at the same time, to preserve serving capacity. Servers that are silent, leaving or
// unknown get no orders.
func Decide(targets []Target, seen map[string]Seen, maxMoves int) Decision {
	var d Decision
	sorted := append([]Target(nil), targets...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	draining := 0
	for _, t := range sorted {
		s, known := seen[t.Name]
		if !known || s.Silent || s.Leaving || s.matches(t) {
			continue
		}
		switch s.State {
		case engine.StateReady:
			if draining < maxMoves {
				draining++
				d.Drain = append(d.Drain, t)
			}
		default:
			d.Send = append(d.Send, t)
		}
	}
	return d
}
