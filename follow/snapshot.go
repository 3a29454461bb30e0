package follow

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"junctioncross/backend"
	"junctioncross/catalog"
)

// Snapshot is the state of the fleet at one moment.
type Snapshot struct {
	catalog *catalog.Catalog
	groups  map[string]*backend.Group
	// byService holds the usable servers of all services, configured or not.
	byService map[string][]*backend.Server
	byID      map[string]*backend.Server
	byAddr    map[string]*backend.Server
	// misfits are the servers that do not fit the configuration, with the reason of each.
	misfits map[*backend.Server]backend.Misfit
	// former holds the groups of services as they are not configured any more, by the groups that they stand for.
	former sync.Map
}

// newSnapshot returns the state of the fleet with a configuration and the servers that have entries, usable or not.
func newSnapshot(c *catalog.Catalog, tracked map[string]*trackedServer) *Snapshot {
	s := &Snapshot{
		catalog: c, groups: map[string]*backend.Group{}, byService: map[string][]*backend.Server{},
		byID: make(map[string]*backend.Server, len(tracked)), misfits: map[*backend.Server]backend.Misfit{},
	}
	for id, one := range tracked {
		s.byID[id] = one.server
		if !one.unusable {
			service := one.server.Service()
			s.byService[service] = append(s.byService[service], one.server)
		}
	}
	for _, service := range c.Services() {
		group := backend.NewGroup(service, s.byService[service.Name])
		s.groups[service.Name] = group
		maps.Copy(s.misfits, group.Misfits())
	}
	s.byAddr = s.serversByAddr(tracked)
	return s
}

// serversByAddr returns all servers by their addresses. One that is not usable stands for an address only if no usable one does: its entry may
// be another writer's.
func (s *Snapshot) serversByAddr(tracked map[string]*trackedServer) map[string]*backend.Server {
	var usable, others []*backend.Server
	for _, one := range tracked {
		if _, misfit := s.misfits[one.server]; misfit || one.unusable {
			others = append(others, one.server)
		} else {
			usable = append(usable, one.server)
		}
	}
	out := backend.ByAddr(others)
	maps.Copy(out, backend.ByAddr(usable))
	return out
}

// Catalog returns the configuration in force, or nil before there is one.
func (s *Snapshot) Catalog() *catalog.Catalog { return s.catalog }

// Group returns the servers of a service, or nil if the service is not configured.
func (s *Snapshot) Group(service string) *backend.Group { return s.groups[service] }

// Groups returns the servers of all services, by service.
func (s *Snapshot) Groups() map[string]*backend.Group { return s.groups }

// GroupLike returns the present servers of a group's service for requests that are under way. If the service is not configured any more, or
// runs something else, that is a group of the service as it was.
func (s *Snapshot) GroupLike(g *backend.Group) *backend.Group {
	if present := s.groups[g.Service().Name]; present != nil && present.Service().RunsLike(g.Service()) {
		return present
	}
	if former, ok := s.former.Load(g); ok {
		return former.(*backend.Group)
	}
	former, _ := s.former.LoadOrStore(g, backend.NewGroup(g.Service(), s.serversLike(g)))
	s.former.Store(former, former)
	return former.(*backend.Group)
}

// serversLike returns the usable servers that have entries for a group's service, and those of the group that were never removed.
func (s *Snapshot) serversLike(g *backend.Group) []*backend.Server {
	out := slices.Clone(s.byService[g.Service().Name])
	for _, server := range g.Servers() {
		if s.byID[server.ID()] == nil && !server.Gone() {
			out = append(out, server)
		}
	}
	return out
}

// server returns a server by its id, or nil.
func (s *Snapshot) server(id string) *backend.Server { return s.byID[id] }

// ServerAt returns the server at an address, or nil. Its service need not be configured any more, since it may still run requests.
func (v *FleetView) ServerAt(addr string) *backend.Server { return v.Current().byAddr[addr] }

// ServerOf returns the server of an incarnation, or nil.
func (v *FleetView) ServerOf(incarnation backend.Incarnation) *backend.Server {
	s := v.Current().server(incarnation.ID)
	if s == nil || s.Incarnation() != incarnation {
		return nil
	}
	return s
}

// OthersLike returns up to n random servers beside one, of its failure domain as far as there are any.
func (v *FleetView) OthersLike(server *backend.Server, n int) []*backend.Server {
	var near, far []*backend.Server
	for _, g := range v.Current().groups {
		for _, s := range g.Servers() {
			switch {
			case s == server || s.Leaving():
			case s.Domain() == server.Domain():
				near = append(near, s)
			default:
				far = append(far, s)
			}
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	near = append(near, far...)
	return near[:min(n, len(near))]
}

// FleetView holds the newest Snapshot for the request path, and up to when the feeds are known.
type FleetView struct {
	current atomic.Pointer[Snapshot]
	// confirmed is the last moment at which the configuration in force is known to have been the newest.
	confirmed atomic.Pointer[time.Time]
	// listed is the last moment at which the list of servers is known to have been current.
	listed atomic.Pointer[time.Time]
	// lastShared is when this instance last received reports on servers from another instance.
	lastShared atomic.Pointer[time.Time]
	findings   *findings
	// reportFaults is called with why a shared report is not used; it is nil if nobody observes that.
	reportFaults atomic.Pointer[func(server string, fault backend.FieldFault)]
}

// NewFleetView returns a FleetView with an empty Snapshot.
func NewFleetView() *FleetView {
	v := &FleetView{findings: &findings{urgent: make(chan struct{}, 1)}}
	v.current.Store(&Snapshot{})
	v.confirmed.Store(&time.Time{})
	v.listed.Store(&time.Time{})
	v.lastShared.Store(&time.Time{})
	return v
}

// Current returns the newest Snapshot; it is never nil.
func (v *FleetView) Current() *Snapshot { return v.current.Load() }

// Confirmed returns the last moment at which the configuration in force is known to have been the newest.
func (v *FleetView) Confirmed() time.Time { return *v.confirmed.Load() }

// KeysAge returns for how long keys may have been revoked without the instance knowing.
func (v *FleetView) KeysAge(now time.Time) time.Duration { return now.Sub(v.Confirmed()) }

// Listed reports whether the list of servers has been read since the start.
func (v *FleetView) Listed() bool { return !v.listed.Load().IsZero() }

// ServersAge returns for how long entries of servers may have changed without the instance knowing.
func (v *FleetView) ServersAge(now time.Time) time.Duration { return now.Sub(*v.listed.Load()) }
