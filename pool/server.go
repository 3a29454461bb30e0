package pool

import (
	"sync"
	"sync/atomic"
	"time"

	"junctioncross/engine"
	"junctioncross/retry"
)

// Server is one backend server.
type Server struct {
	name   string
	addr   string
	domain string
	// newBatcher makes the batcher when the server gets its first work.
	newBatcher func() *engine.Batcher
	batcher    atomic.Pointer[engine.Batcher]
	// excluded means that the server must get no new work because of the configuration, of what other instances report or of its own
	// reports; it does not depend on the server's answers to frames.
	excluded atomic.Bool
	// assigned counts the attempts of this instance whose path includes the server.
	assigned atomic.Int64

	mu      sync.Mutex
	circuit retry.SyncCircuit
}

// Name returns the server's name.
func (s *Server) Name() string { return s.name }

// Addr returns the server's IP number and port.
func (s *Server) Addr() string { return s.addr }

// Domain returns the server's failure domain.
func (s *Server) Domain() string { return s.domain }

// Batcher returns the server's batcher, which it makes on the first call.
func (s *Server) Batcher() *engine.Batcher {
	if g := s.batcher.Load(); g != nil {
		return g
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.batcher.Load(); g != nil {
		return g
	}
	g := s.newBatcher()
	s.batcher.Store(g)
	return g
}

// SetExcluded excludes the server from new work or admits it again.
func (s *Server) SetExcluded(excluded bool) { s.excluded.Store(excluded) }

// Excluded reports whether the server must get no new work, even if no other server is left.
func (s *Server) Excluded() bool {
	g := s.batcher.Load()
	return s.excluded.Load() || g != nil && g.Leaving()
}

// Usable reports whether the server may get new work: it is not excluded and its circuit is not open.
func (s *Server) Usable(now time.Time) bool {
	return !s.Excluded() && !s.circuit.Open(now)
}

// BeginAttempt records that the path of a new attempt includes the server.
func (s *Server) BeginAttempt() {
	s.assigned.Add(1)
	s.circuit.StartTrial()
}

// Failed records for the circuit breaker that a frame failed.
func (s *Server) Failed(now time.Time) { s.circuit.Failed(now) }

// Succeeded closes the circuit, since a frame was answered.
func (s *Server) Succeeded() { s.circuit.Succeeded() }

// Restarted closes the circuit, since the server's process is a new one.
func (s *Server) Restarted() { s.circuit.Succeeded() }

// EndAttempt records that an attempt no longer uses the server.
func (s *Server) EndAttempt() {
	s.assigned.Add(-1)
	s.circuit.ReleaseTrial()
}
