package follow

import (
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
}

// Catalog returns the configuration in force, or nil before there is one.
func (s *Snapshot) Catalog() *catalog.Catalog { return s.catalog }

// Group returns the servers of a service, or nil if the service is not configured.
func (s *Snapshot) Group(service string) *backend.Group { return s.groups[service] }

// Groups returns the servers of all services, by service.
func (s *Snapshot) Groups() map[string]*backend.Group { return s.groups }

// server returns a server by its id, or nil.
func (s *Snapshot) server(id string) *backend.Server { return s.byID[id] }

// FleetView holds the newest Snapshot for the request path, and up to when the feeds are known.
type FleetView struct {
	current atomic.Pointer[Snapshot]
	// confirmed is the last moment at which the configuration in force is known to have been the newest.
	confirmed atomic.Pointer[time.Time]
	// listed is the last moment at which the list of servers is known to have been current.
	listed atomic.Pointer[time.Time]
	// lastShared is when this instance last received reports on servers from another instance.
	lastShared atomic.Pointer[time.Time]
}

// NewFleetView returns a FleetView with an empty Snapshot.
func NewFleetView() *FleetView {
	b := &FleetView{}
	b.current.Store(&Snapshot{})
	b.confirmed.Store(&time.Time{})
	b.listed.Store(&time.Time{})
	b.lastShared.Store(&time.Time{})
	return b
}

// Current returns the newest Snapshot; it is never nil.
func (b *FleetView) Current() *Snapshot { return b.current.Load() }

// Confirmed returns the last moment at which the configuration in force is known to have been the newest.
func (b *FleetView) Confirmed() time.Time { return *b.confirmed.Load() }

// KeysAge returns for how long keys may have been revoked without the instance knowing.
func (b *FleetView) KeysAge(now time.Time) time.Duration { return now.Sub(b.Confirmed()) }

// Listed reports whether the list of servers has been read since the start.
func (b *FleetView) Listed() bool { return !b.listed.Load().IsZero() }

// ServersAge returns for how long entries of servers may have changed without the instance knowing.
func (b *FleetView) ServersAge(now time.Time) time.Duration { return now.Sub(*b.listed.Load()) }
