package order

import (
	"sort"

	"junctioncross/engine"
	"junctioncross/models"
)

// Target is what a backend server should hold.
type Target struct {
	Name        string
	Addr        string
	Model       string
	Version     string
	Total       int
	Layers      models.Layers
	ChecksFence bool
}

// Seen is what a backend server was last known to hold.
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

// Decision is what the leader does next.
type Decision struct {
	// Send lists the servers that can take their order now.
	Send []Target
	// Drain lists the servers that must get no new work and be empty before they take their order.
	Drain []Target
}

// Decide compares targets with what is seen. A server that serves something else is drained first, and at most maxMoves
// at a time, so that serving capacity stays up.
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
