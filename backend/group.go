package backend

import (
	"junctioncross/catalog"
	"junctioncross/chain"
)

// Group is the set of servers that a service has at a given time.
type Group struct {
	service *catalog.Service
	servers []*Server
	// misfits are the servers that are left out.
	misfits map[*Server]Misfit
	// graph is nil for plain services.
	graph  *chain.Graph
	byAddr map[string]*Server
}

// NewGroup returns the Group of a service with those of the servers that fit its engine.
func NewGroup(service *catalog.Service, servers []*Server) *Group {
	servers, misfits := separateMisfits(service.Engine, servers)
	g := &Group{service: service, servers: servers, misfits: misfits, byAddr: ByAddr(servers)}
	if service.Engine == nil {
		return g
	}
	nodes := make([]chain.Node, len(servers))
	for i, s := range servers {
		nodes[i] = s.Node(i, service.Engine)
	}
	g.graph = chain.NewGraph(service.Engine, nodes)
	return g
}

// ByAddr returns servers by their addresses. An address may belong to another server before the entry of the former is gone: of those at one
// address, the one whose description is newest counts.
func ByAddr(servers []*Server) map[string]*Server {
	out := make(map[string]*Server, len(servers))
	for _, s := range servers {
		if known := out[s.addr]; known == nil || known.described.Load().revision < s.described.Load().revision {
			out[s.addr] = s
		}
	}
	return out
}

// Service returns the service's configuration.
func (g *Group) Service() *catalog.Service { return g.service }

// Servers returns the servers; the caller must not change the slice.
func (g *Group) Servers() []*Server { return g.servers }

// Misfits returns the servers that the group leaves out, with the reason of each; the caller must not change the map.
func (g *Group) Misfits() map[*Server]Misfit { return g.misfits }

// Graph returns the graph of a chained engine's servers, or nil for plain services.
func (g *Group) Graph() *chain.Graph { return g.graph }

// ByAddr returns the server at an address, or nil.
func (g *Group) ByAddr(addr string) *Server { return g.byAddr[addr] }
