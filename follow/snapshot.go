package follow

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"junctioncross/backend"
	"junctioncross/catalog"
)

// Snapshot is the state of the fleet at one moment.
type Snapshot struct {
	catalog *catalog.Catalog
	groups  map[string]*backend.Group
	byID    map[string]*backend.Server
	byAddr  map[string]*backend.Server
}

// newSnapshot returns the state of the fleet with a configuration and the servers that have entries, usable or not.
func newSnapshot(c *catalog.Catalog, tracked map[string]*trackedServer) *Snapshot {
	s := &Snapshot{catalog: c, groups: map[string]*backend.Group{}, byID: make(map[string]*backend.Server, len(tracked))}
	byService := map[string][]*backend.Server{}
	for id, one := range tracked {
		s.byID[id] = one.server
		if !one.unusable {
			byService[one.server.Service()] = append(byService[one.server.Service()], one.server)
		}
	}
	s.byAddr = backend.ByAddr(slices.Collect(maps.Values(s.byID)))
	for _, service := range c.Services() {
		s.groups[service.Name] = backend.NewGroup(service, byService[service.Name])
	}
	return s
}

// Catalog returns the configuration in force, or nil before there is one.
func (s *Snapshot) Catalog() *catalog.Catalog { return s.catalog }

// Group returns the servers of a service, or nil if the service is not configured.
func (s *Snapshot) Group(service string) *backend.Group { return s.groups[service] }

// Groups returns the servers of all services, by service.
func (s *Snapshot) Groups() map[string]*backend.Group { return s.groups }

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
