package placement

// layerBudget counts the layers that the servers of each domain have room for beside wantedSequences: of all, of those that hold nothing
// yet, and of those that stand in.
type layerBudget struct {
	all    map[string]int
	free   map[string]int
	backup map[string]int
}

func (c *coverageMap) countLayers(servers []Server) layerBudget {
	out := layerBudget{all: map[string]int{}, free: map[string]int{}, backup: map[string]int{}}
	for i := range servers {
		s := &servers[i]
		if s.Kind == nil {
			continue
		}
		n := LayersOf(c.engine, s.Kind, wantedSequences)
		out.all[s.Domain] += n
		switch held := s.Layers.Count(); {
		case held > n:
			out.backup[s.Domain] += n
		case held == 0 && s.Settled:
			out.free[s.Domain] += n
		}
	}
	return out
}

// mayBeBackup reports whether a server that has room for so many layers may stand in for others: only what is left over when the
// domain holds as many whole copies as it can does, and the slowest servers, which come last.
func (s layerBudget) mayBeBackup(domain string, usual, layers int) bool {
	leftOver := s.all[domain] % layers
	return s.free[domain] <= leftOver && s.backup[domain]+usual <= leftOver
}
