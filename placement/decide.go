package placement

import (
	"sort"

	"junctioncross/catalog"
	"junctioncross/chain"
	"junctioncross/models"
)

const (
	// wantedSequences is the number of sequences that a server should have memory for beside its layers. More leave less
	// memory for layers: measured, one bare copy of the model in each domain (about 200 sequences) did far worse than this,
	// since the loss of one server sent all paths of its domain over the links between domains.
	wantedSequences = 96
	// standInSequences is the same for a server whose layers all have another holder in its domain that is as fast: it stands in
	// for servers that are lost and takes what they have no memory for, and covers more layers with less room.
	standInSequences = 48
)

// Server is a server as the decision sees it.
type Server struct {
	ID     string
	Domain string
	Kind   *catalog.Kind
	// Layers is what the server holds, or will when an order under way is done.
	Layers models.Layers
	// Settled servers can take an order now.
	Settled bool
	// Stays is true for a server that shall not give up layers now.
	Stays bool
}

// Order says what one server should hold from now on.
type Order struct {
	ID     string
	Layers models.Layers
	// Moves is true when the server gives layers up.
	Moves bool
}

// tokens returns the tokens that a usual request holds at its end.
func tokens(e *catalog.Engine) float64 { return float64(max(e.UsualPrompt+e.UsualAnswer, 1)) }

// LayersOf returns how many layers a server of a kind should hold so that its memory has room for the sequences.
func LayersOf(e *catalog.Engine, k *catalog.Kind, sequences int) int {
	perLayer := e.LayerMB + float64(sequences)*tokens(e)*e.LayerBytes()/1e6
	return min(max(int(k.MemoryMB/perLayer), 1), e.Layers, int(k.MemoryMB/e.LayerMB))
}

// sequencesOf returns the number of usual sequences that a server has memory for beside that many layers.
func sequencesOf(e *catalog.Engine, k *catalog.Kind, layers int) float64 {
	if k == nil || layers < 1 {
		return 0
	}
	return chain.Room(e, k, layers) / (tokens(e) * float64(layers))
}

// cover holds for each layer the number of sequences that its holders have memory for, in all and by domain.
type cover struct {
	engine *catalog.Engine
	all    []float64
	domain map[string][]float64
	// fastest holds the step pace of the fastest server that was ever counted as a holder, by domain and layer; 0 means none.
	fastest map[string][]float64
}

func newCover(e *catalog.Engine, servers []Server) *cover {
	c := &cover{engine: e, all: make([]float64, e.Layers), domain: map[string][]float64{}, fastest: map[string][]float64{}}
	for i := range servers {
		c.add(&servers[i], servers[i].Layers, 1)
	}
	return c
}

func (c *cover) in(domain string) []float64 {
	d := c.domain[domain]
	if d == nil {
		d = make([]float64, c.engine.Layers)
		c.domain[domain] = d
		c.fastest[domain] = make([]float64, c.engine.Layers)
	}
	return d
}

// add counts a server as a holder of a range; sign -1 takes it off again.
func (c *cover) add(s *Server, r models.Layers, sign float64) {
	d := c.in(s.Domain)
	room := sign * max(sequencesOf(c.engine, s.Kind, r.Count()), 1)
	for l := max(r.First, 0); l < min(r.End, c.engine.Layers); l++ {
		c.all[l] += room
		d[l] += room
		if f := &c.fastest[s.Domain][l]; sign > 0 && s.Kind != nil && (*f == 0 || s.Kind.StepPace < *f) {
			*f = s.Kind.StepPace
		}
	}
}

const (
	// missingEverywhere and missingHere weigh a layer that has no holder at all, or none in the domain, against one whose
	// holders have room for wantedSequences, which counts about 1: without any holder nothing is answered, without one in
	// the domain paths cross.
	missingEverywhere = 10000.0
	missingHere       = 100.0
	// loadCost weighs a layer that has to be loaded: seconds of one server, against a missing layer that sends all paths of
	// its domain elsewhere.
	loadCost = 2.0
	// least is what is left by rounding where there is no holder.
	least = 0.5
)

// value returns what another holder of layer l in the domain would add: the less the more room its holders have.
func (c *cover) value(domain []float64, l int) float64 {
	switch {
	case c.all[l] < least:
		return missingEverywhere
	case domain[l] < least:
		return missingHere
	default:
		share := domain[l]/wantedSequences + 0.1
		return 1 / (share * share)
	}
}

// best returns the range of n layers that adds most in the domain, the first one where several do.
func (c *cover) best(domain string, n int) (models.Layers, float64) {
	d := c.in(domain)
	sums := make([]float64, c.engine.Layers+1)
	for l := range c.engine.Layers {
		sums[l+1] = sums[l] + c.value(d, l)
	}
	best, highest := 0, -1.0
	for first := 0; first+n <= c.engine.Layers; first++ {
		// The small difference keeps the first of several equal ranges, in spite of rounding.
		if v := sums[first+n] - sums[first]; v > highest+1e-6 {
			best, highest = first, v
		}
	}
	return models.Layers{First: best, End: best + n}, highest
}

// rangeValue returns what the holder of a range adds.
func (c *cover) rangeValue(domain string, r models.Layers) float64 {
	d := c.in(domain)
	total := 0.0
	for l := max(r.First, 0); l < min(r.End, c.engine.Layers); l++ {
		total += c.value(d, l)
	}
	return total
}

// Decide returns the orders that bring the servers nearer to what they should hold.
func Decide(e *catalog.Engine, servers []Server) []Order {
	c := newCover(e, servers)
	if orders := fill(c, servers); len(orders) > 0 {
		return orders
	}
	if orders := move(e, c, servers); len(orders) > 0 {
		return orders
	}
	return retile(e, servers)
}

// fill gives layers to the servers that hold none, domain by domain, since each shall have a whole copy, and the fastest first, so that slow ones only hold what is left and stand in for
// others: every token passes each layer, and an answer that takes longer holds its memory for longer.
func fill(c *cover, servers []Server) []Order {
	var free []*Server
	for i := range servers {
		if s := &servers[i]; s.Settled && s.Layers.Count() == 0 && s.Kind != nil {
			free = append(free, s)
		}
	}
	sort.Slice(free, func(i, j int) bool { return before(free[i], free[j]) })
	orders := make([]Order, 0, len(free))
	left := c.spareLayers(servers)
	for _, s := range free {
		usual := LayersOf(c.engine, s.Kind, wantedSequences)
		r, ok := c.choose(s, left.mayStandIn(s.Domain, usual, c.engine.Layers))
		if !ok {
			continue
		}
		left.free[s.Domain] -= usual
		if r.Count() > usual {
			left.standing[s.Domain] += usual
		}
		c.add(s, r, 1)
		orders = append(orders, Order{ID: s.ID, Layers: r})
	}
	return orders
}

// spare counts the layers that the servers of each domain have room for beside wantedSequences: of all, of those that hold nothing
// yet, and of those that stand in.
type spare struct {
	all      map[string]int
	free     map[string]int
	standing map[string]int
}

func (c *cover) spareLayers(servers []Server) spare {
	out := spare{all: map[string]int{}, free: map[string]int{}, standing: map[string]int{}}
	for i := range servers {
		s := &servers[i]
		if s.Kind == nil {
			continue
		}
		n := LayersOf(c.engine, s.Kind, wantedSequences)
		out.all[s.Domain] += n
		switch held := s.Layers.Count(); {
		case held > n:
			out.standing[s.Domain] += n
		case held == 0 && s.Settled:
			out.free[s.Domain] += n
		}
	}
	return out
}

// mayStandIn reports whether a server that has room for so many layers may stand in for others: only what is left over when the
// domain holds as many whole copies as it can does, and the slowest servers, which come last.
func (s spare) mayStandIn(domain string, usual, layers int) bool {
	beyond := s.all[domain] % layers
	return s.free[domain] <= beyond && s.standing[domain]+usual <= beyond
}

// choose returns the range that an empty server should hold.
func (c *cover) choose(s *Server, mayStandIn bool) (models.Layers, bool) {
	n := LayersOf(c.engine, s.Kind, wantedSequences)
	if n == 0 {
		return models.Layers{}, false
	}
	r, _ := c.best(s.Domain, n)
	if mayStandIn && c.standsIn(s, r) {
		r, _ = c.best(s.Domain, LayersOf(c.engine, s.Kind, standInSequences))
	}
	return r, true
}

// standsIn reports whether every layer of a range has another holder in the server's domain that is as fast.
func (c *cover) standsIn(s *Server, r models.Layers) bool {
	fastest := c.fastest[s.Domain]
	for l := r.First; l < r.End; l++ {
		if fastest[l] == 0 || fastest[l] > s.Kind.StepPace {
			return false
		}
	}
	return true
}

// before says which of two empty servers gets layers first.
func before(a, b *Server) bool {
	switch {
	case a.Domain != b.Domain:
		return a.Domain < b.Domain
	case a.Kind.StepPace != b.Kind.StepPace:
		return a.Kind.StepPace < b.Kind.StepPace
	case a.Kind.MemoryMB != b.Kind.MemoryMB:
		return a.Kind.MemoryMB > b.Kind.MemoryMB
	default:
		return a.ID < b.ID
	}
}

// move lets one server give up layers that have other holders, for layers that have none: the one that covers most of
// them, and of several the one that loads least.
//
// A server that holds the only copy of a layer in its domain stays where it is, whatever it could cover: its layers would be
// missing for as long as the new ones load.
func move(e *catalog.Engine, c *cover, servers []Server) []Order {
	live := liveCover(e, servers)
	var best Order
	highest := 0.0
	for i := range servers {
		s := &servers[i]
		if !s.Settled || s.Stays || s.Layers.Count() == 0 || s.Kind == nil || !live.spares(s) {
			continue
		}
		c.add(s, s.Layers, -1)
		r, gain := c.best(s.Domain, s.Layers.Count())
		gain -= c.rangeValue(s.Domain, s.Layers) + loadCost*float64(r.Count())
		if gain >= missingHere/2 && gain > highest {
			best, highest = Order{ID: s.ID, Layers: r, Moves: true}, gain
		}
		c.add(s, s.Layers, 1)
	}
	if highest == 0 {
		return nil
	}
	return []Order{best}
}

// liveCover counts only what servers hold now.
func liveCover(e *catalog.Engine, servers []Server) *cover {
	settled := make([]Server, 0, len(servers))
	for _, s := range servers {
		if s.Settled {
			settled = append(settled, s)
		}
	}
	return newCover(e, settled)
}

// spares reports whether every layer of a server has another holder in its domain.
func (c *cover) spares(s *Server) bool {
	return c.covers(s, models.Layers{})
}
