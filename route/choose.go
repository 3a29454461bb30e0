package route

// Loads reports the load and the availability of the servers at the time of a choice.
type Loads interface {
	// Assigned returns the number of attempts that this instance has in progress on a server.
	Assigned(server int) int
	// Usable reports whether the server may receive new work.
	Usable(server int) bool
}

// Random is a source of numbers uniform in [0, 1).
type Random interface{ Float64() float64 }

// Choose appends the servers of one path through the graph to path and reports whether there is such a path.
//
// It takes the lane with the least load relative to its speed. When every lane has an unusable server, it chooses the path
// server by server.
func Choose(g *Graph, loads Loads, random Random, path []Node) ([]Node, bool) {
	if g.Empty() {
		return path, false
	}
	if lane := chooseLane(g.lanes, loads, random); lane >= 0 {
		return append(path, g.lanes[lane].path...), true
	}
	start := len(path)
	for at := 0; at < g.layers; {
		n, ok := chooseNext(g.starts[at], loads, random)
		if !ok {
			return search(g, loads, path[:start], 0)
		}
		path = append(path, n)
		at = n.Layers.End
	}
	return path, true
}

// chooseLane returns the index of the lane with the lowest pressure among those whose servers are all usable, or -1.
func chooseLane(lanes []Lane, loads Loads, random Random) int {
	best, lowest := -1, 0.0
	for i := range lanes {
		// The random part spreads the first attempts of many instances over the lanes in proportion to their rates.
		p, ok := lanePressure(&lanes[i], loads, random.Float64())
		if ok && (best < 0 || p < lowest) {
			best, lowest = i, p
		}
	}
	return best
}

// lanePressure returns the load relative to speed of the lane's busiest server, and false when a server of the lane is not
// usable.
func lanePressure(l *Lane, loads Loads, random float64) (float64, bool) {
	highest := random / l.rate
	for _, n := range l.path {
		if !loads.Usable(n.Server) {
			return 0, false
		}
		highest = max(highest, (float64(loads.Assigned(n.Server))+random)/n.Weight)
	}
	return highest, true
}

// chooseNext draws two candidates at random by weight and returns the one with the lower pressure. When neither is usable it
// returns the usable candidate with the lowest pressure.
func chooseNext(c *candidates, loads Loads, random Random) (Node, bool) {
	if c == nil {
		return Node{}, false
	}
	a := c.nodes[c.pick(random.Float64())]
	b := c.nodes[c.pick(random.Float64())]
	usableA, usableB := loads.Usable(a.Server), loads.Usable(b.Server)
	switch {
	case usableA && usableB:
		if pressure(loads, b) < pressure(loads, a) {
			return b, true
		}
		return a, true
	case usableA:
		return a, true
	case usableB:
		return b, true
	default:
		return leastLoaded(c, loads)
	}
}

// pressure returns a server's load relative to its speed, counting one more attempt.
func pressure(loads Loads, n Node) float64 {
	return float64(loads.Assigned(n.Server)+1) / n.Weight
}

func leastLoaded(c *candidates, loads Loads) (Node, bool) {
	best, found := Node{}, false
	for _, n := range c.nodes {
		if loads.Usable(n.Server) && (!found || pressure(loads, n) < pressure(loads, best)) {
			best, found = n, true
		}
	}
	return best, found
}

// search finds any path of usable servers by depth-first search. It is used when the server-by-server choice reached a layer
// from which no usable server continues.
func search(g *Graph, loads Loads, path []Node, at int) ([]Node, bool) {
	if at == g.layers {
		return path, true
	}
	c := g.starts[at]
	if c == nil {
		return path, false
	}
	for _, n := range c.nodes {
		if !loads.Usable(n.Server) {
			continue
		}
		if found, ok := search(g, loads, append(path, n), n.Layers.End); ok {
			return found, true
		}
	}
	return path, false
}
