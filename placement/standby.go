package placement

// layerBudget counts, for each domain, the layers that servers can hold with the room of its layout beside them: all servers, those
// that hold nothing yet, and the standby servers.
type layerBudget struct {
	all     map[string]int
	free    map[string]int
	standby map[string]int
}

// countLayers returns the layer budget of the domains as their servers are now.
func (c *coverageMap) countLayers(servers []Server) layerBudget {
	out := layerBudget{all: map[string]int{}, free: map[string]int{}, standby: map[string]int{}}
	for i := range servers {
		s := &servers[i]
		if s.Kind == nil {
			continue
		}
		n := LayersOf(c.engine, s.Kind, c.layout(s.Domain).Sequences)
		out.all[s.Domain] += n
		switch held := s.Layers.Count(); {
		case held > n:
			out.standby[s.Domain] += n
		case held == 0 && s.Settled:
			out.free[s.Domain] += n
		}
	}
	return out
}

// mayBeStandby reports whether a server may be a standby server; usual is the number of layers that it can hold with
// the room of the layout beside them, and layers the number of layers of the model. Standbys are limited to the memory that is left
// over when the domain holds as many whole copies of the model as it can; they are the slowest servers, which are placed last.
func (s layerBudget) mayBeStandby(domain string, usual, layers int) bool {
	leftOver := s.all[domain] % layers
	return s.free[domain] <= leftOver && s.standby[domain]+usual <= leftOver
}
