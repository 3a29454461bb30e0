package backend

import (
	"time"

	"junctioncross/call"
	"junctioncross/retry"
)

// Suspect takes the server as gone until a moment, since it did not answer.
func (s *Server) Suspect(until time.Time) {
	s.mu.Lock()
	s.suspectUntil = until
	s.mu.Unlock()
	s.SetAside(until)
}

// Suspected reports whether the server is taken as gone.
func (s *Server) Suspected(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.suspectUntil)
}

func (s *Server) isAside(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.asideUntil) || now.Before(s.staleUntil)
}

// SetAside keeps new work away from the server until a moment.
func (s *Server) SetAside(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.asideUntil) {
		s.asideUntil = until
	}
}

// WasFull keeps new work away from a server that had no room, longer each time until it takes work again.
func (s *Server) WasFull(now time.Time) {
	s.mu.Lock()
	pause := retry.Doubled(fullBackOff, maxFullBackOff, s.refusals)
	if !now.Before(s.asideUntil) {
		s.refusals++
	}
	s.mu.Unlock()
	s.SetAside(now.Add(pause))
}

// TookWork says that the server took work, so that its earlier refusals no longer count.
func (s *Server) TookWork() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals = 0
}

// MayAsk reports whether the server may be asked for its state now, and counts that as done.
func (s *Server) MayAsk(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayQueryLocked(now) {
		return false
	}
	s.queriedAt = now
	return true
}

// Askable reports whether the server may be asked for its state now.
func (s *Server) Askable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mayQueryLocked(now)
}

func (s *Server) mayQueryLocked(now time.Time) bool { return now.Sub(s.queriedAt) >= queryInterval }

// SetPace keeps how many times slower than usual the server says to be.
func (s *Server) SetPace(pace float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace, s.paceAt = pace, now
}

// Pace returns how many times slower than usual the server is, as far as known; 1 is its usual speed.
func (s *Server) Pace(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pace < 1 || now.Sub(s.paceAt) > maxPaceAge {
		return 1
	}
	return s.pace
}

// WasStale keeps new work away from a server that does not hold what its entry says, until the entry tells what it holds.
func (s *Server) WasStale(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleUntil = now.Add(maxStaleTime)
}

// clearStale notes that the entry tells other layers than before.
func (s *Server) clearStale() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleUntil = time.Time{}
}

// Usable reports whether the server may get new work.
func (s *Server) Usable(now time.Time) bool { return !s.BackedOff(now) && s.usableIgnoringBackOff(now) }

// usableIgnoringBackOff reports whether the server may get new work as far as it has not asked for none.
func (s *Server) usableIgnoringBackOff(now time.Time) bool {
	if s.Leaving() || s.possiblyLeaving.Load() {
		return false
	}
	return !s.isAside(now) && !s.circuit.Open(now)
}

// Chosen tells the circuit that work goes to the server.
func (s *Server) Chosen() { s.circuit.Admit() }

// Failed tells the circuit that a request failed.
func (s *Server) Failed(now time.Time) { s.circuit.Failed(now) }

// Succeeded tells the circuit that a request was answered.
func (s *Server) Succeeded() { s.circuit.Succeeded() }

// Settled tells the circuit that the outcome of a request says nothing of the server.
func (s *Server) Settled() { s.circuit.Settled() }

// Observe takes the outcome of a request into the share of failures.
func (s *Server) Observe(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome := 1.0
	if ok {
		outcome = 0
	}
	s.failRate += (outcome - s.failRate) * failWeight
}

// FailRate returns the share of the latest requests that failed.
func (s *Server) FailRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failRate
}

// SetLoad keeps what the server says of its work.
func (s *Server) SetLoad(l call.Load, now time.Time) {
	if !l.Known {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadAt, s.firstStageAtLoad = l, now, s.firstStage.Load()
}

// Sequences returns the number of requests of which the server is the first part, for all instances: what it last said, if
// that is no older than age, and how the own requests have changed since.
func (s *Server) Sequences(now time.Time, age time.Duration) float64 {
	own := s.firstStage.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.load.Known || now.Sub(s.loadAt) > age {
		return float64(own)
	}
	return max(float64(int64(s.load.Running+s.load.Waiting)+own-s.firstStageAtLoad), float64(own))
}

// Load returns what the server last said of its work, and when.
func (s *Server) Load() (call.Load, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load, s.loadAt
}
