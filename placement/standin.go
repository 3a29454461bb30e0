package placement

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
