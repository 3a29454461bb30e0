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
	// newBatcher starts the sender of frames, which servers that get no work do without.
	newBatcher func() *engine.Batcher
	batcher    atomic.Pointer[engine.Batcher]
	// closed to new work by what instances and reports say, as opposed to the server's own answers.
	excluded atomic.Bool
	// assigned counts the attempts of this instance that pass through the server.
	assigned atomic.Int64

	mu      sync.Mutex
	circuit retry.Guard
}

// Name returns the server's name.
func (s *Server) Name() string { return s.name }

// Addr returns the server's IP number and port.
func (s *Server) Addr() string { return s.addr }

// Domain returns the server's failure domain.
func (s *Server) Domain() string { return s.domain }

// Batcher returns the sender of frames and starts it when there is none.
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

// Bar closes the server to new work or opens it again.
func (s *Server) Bar(barred bool) { s.excluded.Store(barred) }

// Excluded reports whether the server must get no new work, whatever else there is.
func (s *Server) Excluded() bool {
	g := s.batcher.Load()
	return s.excluded.Load() || g != nil && g.Leaving()
}

// Usable reports whether the server may get new work.
func (s *Server) Usable(now time.Time) bool {
	return !s.Excluded() && !s.circuit.Open(now)
}

// BeginAttempt tells the server that a new attempt passes through it.
func (s *Server) BeginAttempt() {
	s.assigned.Add(1)
	s.circuit.Admit()
}

// Failed tells the circuit that a frame failed.
func (s *Server) Failed(now time.Time) { s.circuit.Failed(now) }

// Succeeded tells the circuit that a frame was answered.
func (s *Server) Succeeded() { s.circuit.Succeeded() }

// Restarted tells the circuit that the server's process is a new one.
func (s *Server) Restarted() { s.circuit.Succeeded() }

// EndAttempt tells the server that an attempt no longer passes through it.
func (s *Server) EndAttempt() {
	s.assigned.Add(-1)
	s.circuit.Settled()
}
