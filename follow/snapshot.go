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

// Catalog returns the configuration in force, or nil before the first.
func (s *Snapshot) Catalog() *catalog.Catalog { return s.catalog }

// Group returns the servers of a service, or nil when the service is not known.
func (s *Snapshot) Group(service string) *backend.Group { return s.groups[service] }

// Groups returns the servers of all services.
func (s *Snapshot) Groups() map[string]*backend.Group { return s.groups }

// server returns a server by the name of its start, or nil.
func (s *Snapshot) server(id string) *backend.Server { return s.byID[id] }

// Board shows the newest Snapshot to the request path.
type Board struct {
	current atomic.Pointer[Snapshot]
	// confirmed is the moment for which the configuration is known to have been the newest.
	confirmed atomic.Pointer[time.Time]
	// listed is the same for the servers.
	listed atomic.Pointer[time.Time]
	// lastShared is when other instances last passed on what they know of servers.
	lastShared atomic.Pointer[time.Time]
}

// NewBoard returns a Board with an empty Snapshot.
func NewBoard() *Board {
	b := &Board{}
	b.current.Store(&Snapshot{})
	b.confirmed.Store(&time.Time{})
	b.listed.Store(&time.Time{})
	b.lastShared.Store(&time.Time{})
	return b
}

// Current returns the newest Snapshot; it is never nil.
func (b *Board) Current() *Snapshot { return b.current.Load() }

// Confirmed returns the moment for which the configuration is known to have been the newest.
func (b *Board) Confirmed() time.Time { return *b.confirmed.Load() }

// KeysAge returns for how long it is not known whether keys were taken away.
func (b *Board) KeysAge(now time.Time) time.Duration { return now.Sub(b.Confirmed()) }

// Listed reports whether the servers were heard of at all since the start.
func (b *Board) Listed() bool { return !b.listed.Load().IsZero() }

// ServersAge returns for how long it is not known whether entries of servers have changed.
func (b *Board) ServersAge(now time.Time) time.Duration { return now.Sub(*b.listed.Load()) }
