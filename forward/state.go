package forward

import (
	"time"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/chain"
)

const (
	// initialLoadRatio is the load ratio that is assumed until answers report one: that of three instances that use the servers
	// alike.
	initialLoadRatio = 3.0
	// maxLoadRatio bounds the load ratio.
	maxLoadRatio = 32.0
	// loadRatioWeight is the weight of the newest answer in the load ratio.
	loadRatioWeight = 0.05
	// failurePenalty is what the penalty factor of a server gains if it fails all its requests.
	failurePenalty = 4.0
)

// loadRatio estimates the load ratio: all work of the servers as a multiple of what this instance gives them.
type loadRatio struct {
	estimate float64
}

// observe updates the estimate by the load in one answer: the requests that a server runs or queues, against those of this
// instance.
func (p *loadRatio) observe(load call.Load, own int) {
	if !load.Known || own < 1 {
		return
	}
	ratio := min(max(float64(load.Running+load.Waiting)/float64(own), 1), maxLoadRatio)
	p.estimate += (ratio - p.estimate) * loadRatioWeight
}

// chainState implements chain.State for the servers of a group.
type chainState struct {
	servers []*backend.Server
	engine  *catalog.Engine
	now     time.Time
	// loadRatio is the estimated ratio of all work on the servers to the work of this instance.
	loadRatio float64
	// instances is the number of instances that share the rate limits of the servers.
	instances int
	// avoid is what the request is to avoid after rejections.
	avoid avoidance
	// starts limits where a path may start.
	starts starts
	// ignoreMemory makes all memory count as free, whatever the servers reported of it.
	ignoreMemory bool
}

// Usable implements chain.State.
func (s *chainState) Usable(i int) bool {
	if s.servers[i].Layers().First == 0 && !s.starts.allow(i) {
		return false
	}
	return !s.avoid.bars(i) && s.servers[i].Usable(s.now) && s.servers[i].WithinLimit(s.instances, s.now)
}

// Sequences implements chain.State.
func (s *chainState) Sequences(i int) float64 { return float64(s.servers[i].Running()) * s.loadRatio }

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
	if filled, known := server.Filled(s.now, maxReportAge, 1); known {
		return room * (1 - filled)
	}
	return room - server.Reserved()*s.loadRatio
}

// Penalty implements chain.State.
func (s *chainState) Penalty(i int) float64 {
	return s.servers[i].Pace(s.now) * (1 + failurePenalty*s.servers[i].FailRate())
}
