package placement

import (
	"sort"

	"junctioncross/catalog"
	"junctioncross/models"
)

// Sequences is the number of sequences that a server should have memory for. More of them leave less memory for layers,
// and so fewer copies of the model.
const Sequences = 96

// Server is a server as the decision sees it.
type Server struct {
	ID     string
	Domain string
	Kind   *catalog.Kind
	// Layers is what the server holds, or will when an order under way is done.
	Layers models.Layers
	// Settled servers can take an order now.
	Settled bool
}

// Order says what one server should hold from now on.
type Order struct {
	ID     string
	Layers models.Layers
	// Moves is true when the server gives layers up.
	Moves bool
}

// LayersOf returns how many layers a server of a kind should hold so that its memory has room for the sequences.
func LayersOf(e *catalog.Engine, k *catalog.Kind, sequences int) int {
	tokens := float64(e.UsualPrompt + e.UsualAnswer)
	perLayer := e.LayerMB + float64(sequences)*tokens*e.LayerBytes()/1e6
	return min(max(int(k.MemoryMB/perLayer), 1), e.Layers, int(k.MemoryMB/e.LayerMB))
}

// cover counts the holders of each layer, in all and by domain.
type cover struct {
	all    []int
	domain map[string][]int
	layers int
}

func newCover(layers int, servers []Server) *cover {
	c := &cover{all: make([]int, layers), domain: map[string][]int{}, layers: layers}
	for i := range servers {
		c.add(servers[i].Domain, servers[i].Layers, 1)
	}
	return c
}

func (c *cover) in(domain string) []int {
	d := c.domain[domain]
	if d == nil {
		d = make([]int, c.layers)
		c.domain[domain] = d
	}
	return d
}

func (c *cover) add(domain string, r models.Layers, n int) {
	d := c.in(domain)
	for l := max(r.First, 0); l < min(r.End, c.layers); l++ {
		c.all[l] += n
		d[l] += n
	}
}

const (
	// missingEverywhere, missingHere and spare weigh what another holder of a layer is worth: a layer without any holder
	// stops all answers, one without a holder in the domain makes paths cross, and every further holder counts less.
	missingEverywhere = 10000.0
	missingHere       = 100.0
	spare             = 10.0
)

// value returns what a holder of layer l in the domain would add.
func (c *cover) value(domain []int, l int) float64 {
	switch {
	case c.all[l] == 0:
		return missingEverywhere
	case domain[l] == 0:
		return missingHere
	default:
		return spare / float64(domain[l]*domain[l])
	}
}

// best returns the range of n layers that adds most in the domain, the first one where several do.
func (c *cover) best(domain string, n int) (models.Layers, float64) {
	d := c.in(domain)
	values := make([]float64, c.layers+1)
	for l := range c.layers {
		values[l+1] = values[l] + c.value(d, l)
	}
	best, highest := 0, -1.0
	for first := 0; first+n <= c.layers; first++ {
		// The small difference keeps the first of several equal ranges, in spite of rounding.
		if v := values[first+n] - values[first]; v > highest+1e-6 {
			best, highest = first, v
		}
	}
	return models.Layers{First: best, End: best + n}, highest
}

// Decide returns the orders that bring the servers nearer to what they should hold.
func Decide(e *catalog.Engine, servers []Server, sequences int) []Order {
	c := newCover(e.Layers, servers)
	orders := fill(e, c, servers, sequences)
	if len(orders) > 0 {
		return orders
	}
	return move(e, c, servers)
}

// fill gives layers to the servers that hold none, the largest first.
func fill(e *catalog.Engine, c *cover, servers []Server, sequences int) []Order {
	type empty struct {
		server *Server
		layers int
	}
	var free []empty
	for i := range servers {
		s := &servers[i]
		if s.Settled && s.Layers.Count() == 0 && s.Kind != nil {
			if n := LayersOf(e, s.Kind, sequences); n > 0 {
				free = append(free, empty{s, n})
			}
		}
	}
	sort.Slice(free, func(i, j int) bool {
		if free[i].layers != free[j].layers {
			return free[i].layers > free[j].layers
		}
		return free[i].server.ID < free[j].server.ID
	})
	orders := make([]Order, 0, len(free))
	for _, f := range free {
		r, _ := c.best(f.server.Domain, f.layers)
		c.add(f.server.Domain, r, 1)
		orders = append(orders, Order{ID: f.server.ID, Layers: r})
	}
	return orders
}

// move lets one server give up layers that have other holders, for a layer that has none.
func move(e *catalog.Engine, c *cover, servers []Server) []Order {
	var best Order
	highest := 0.0
	for i := range servers {
		s := &servers[i]
		if !s.Settled || s.Layers.Count() == 0 {
			continue
		}
		c.add(s.Domain, s.Layers, -1)
		_, stays := c.rangeValue(s.Domain, s.Layers)
		r, moved := c.best(s.Domain, s.Layers.Count())
		// Only a missing layer is worth a load and the work that is cut short for it.
		if moved-stays >= missingHere && moved-stays > highest {
			best, highest = Order{ID: s.ID, Layers: r, Moves: true}, moved-stays
		}
		c.add(s.Domain, s.Layers, 1)
	}
	if highest == 0 {
		return nil
	}
	return []Order{best}
}

// rangeValue returns what the holder of a range adds, with the range itself.
func (c *cover) rangeValue(domain string, r models.Layers) (models.Layers, float64) {
	d := c.in(domain)
	total := 0.0
	for l := max(r.First, 0); l < min(r.End, c.layers); l++ {
		total += c.value(d, l)
	}
	return r, total
}
