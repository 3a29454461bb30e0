package forward

import (
	"time"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/chain"
)

const (
	// peersAtFirst is the assumed number of instances that share a server until answers tell better.
	peersAtFirst = 3.0
	// maxLoadRatio bounds the estimate.
	maxLoadRatio = 32.0
	// loadRatioWeight is the weight of the newest answer in the estimate.
	loadRatioWeight = 0.05
	// failurePenalty is what a server that fails all its requests counts beside one that fails none.
	failurePenalty = 4.0
)

// peers estimates how much more work the servers have than this instance gives them.
type peers struct {
	factor float64
}

// observe takes one answer: all that runs on a server, against what runs there for this instance.
func (p *peers) observe(load call.Load, own int) {
	if !load.Known || own < 1 {
		return
	}
	ratio := min(max(float64(load.Running+load.Waiting)/float64(own), 1), maxLoadRatio)
	p.factor += (ratio - p.factor) * loadRatioWeight
}

// chainState shows the servers of a group to the choice of a path.
type chainState struct {
	servers []*backend.Server
	engine  *catalog.Engine
	now     time.Time
	factor  float64
	// instances is the number of those that share the limits of servers.
	instances int
	// ignoreMemory counts the memory as free whatever is known of it.
	ignoreMemory bool
}

// Usable implements chain.State.
func (s *chainState) Usable(i int) bool {
	return s.servers[i].Usable(s.now) && s.servers[i].WithinLimit(s.instances, s.now)
}

// Sequences implements chain.State.
func (s *chainState) Sequences(i int) float64 { return float64(s.servers[i].Running()) * s.factor }

// Room implements chain.State.
func (s *chainState) Room(i int) float64 {
	server := s.servers[i]
	kind := s.engine.Kind(server.Kind())
	if kind == nil {
		return 0
	}
	room := chain.Room(s.engine, kind, server.Layers().Count())
	if s.ignoreMemory {
		return room
	}
	if filled, known := server.Filled(s.now, wordAge, 1); known {
		return room * (1 - filled)
	}
	return room - server.Reserved()*s.factor
}

// Penalty implements chain.State.
func (s *chainState) Penalty(i int) float64 {
	return s.servers[i].Pace(s.now) * (1 + failurePenalty*s.servers[i].FailRate())
}
