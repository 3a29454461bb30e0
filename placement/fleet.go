package placement

import (
	"junctioncross/catalog"
	"junctioncross/chain"
)

// Fleet is an engine with servers that fit it. Decisions index tables that are as long as the model with the layers of servers, so
// that they take no engine and servers that were not checked against each other.
type Fleet struct {
	engine  *catalog.Engine
	servers []Server
}

// NewFleet returns the Fleet of an engine and of those of the servers that hold layers of its model, or none, in the largest domains.
func NewFleet(e *catalog.Engine, servers []Server) Fleet {
	fit := make([]Server, 0, len(servers))
	for _, s := range servers {
		if e.HasLayers(s.Layers) {
			fit = append(fit, s)
		}
	}
	return Fleet{engine: e, servers: chain.OfLargestDomains(fit, func(s Server) string { return s.Domain })}
}

// Servers returns the servers; the caller may set whether they are pinned or reserved, and must change nothing else.
func (f Fleet) Servers() []Server { return f.servers }
