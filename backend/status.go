package backend

import (
	"time"

	"junctioncross/call"
	"junctioncross/retry"
)

// Suspect treats the server as gone until the given time, since it did not answer.
func (s *Server) Suspect(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspectUntil = until
}

// Suspected reports whether the server is treated as gone.
func (s *Server) Suspected(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.suspectUntil)
}

// isAside reports whether the server was set aside or is suspected, held other layers than its entry says, or has a finding of another instance
// that sets it aside, for a time that is not over.
func (s *Server) isAside(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asideLocked(now) || now.Before(s.staleUntil) || s.finding.aside(now)
}

// asideLocked reports whether the server was set aside or is suspected; the caller holds the lock.
func (s *Server) asideLocked(now time.Time) bool {
	return now.Before(s.asideUntil) || now.Before(s.suspectUntil) || now.Before(s.sharedSilentUntil)
}

// SetAside keeps new work away from the server until the given time. Of two such times, the later one holds.
func (s *Server) SetAside(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.asideUntil) {
		s.asideUntil = until
	}
}

// NoteFull keeps new work away from a server that had no room. The time doubles with each call until NoteAccepted is called;
// calls while the server is set aside do not count.
func (s *Server) NoteFull(now time.Time) {
	s.mu.Lock()
	pause := retry.Backoff(fullBackOff, maxFullBackOff, s.refusals)
	if !s.asideLocked(now) {
		s.refusals++
	}
	s.mu.Unlock()
	s.SetAside(now.Add(pause))
}

// NoteAccepted records that the server accepted work, so that its earlier refusals and findings of other instances no longer
// count.
func (s *Server) NoteAccepted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals = 0
	s.finding = heldFinding{}
}

// TryQuery reports whether the server's state may be queried now. If so, it records a query: the caller must make it.
func (s *Server) TryQuery(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayQueryLocked(now) {
		return false
	}
	s.queriedAt = now
	return true
}

// MayQuery reports whether the server's state may be queried now. It records nothing.
func (s *Server) MayQuery(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mayQueryLocked(now)
}

func (s *Server) mayQueryLocked(now time.Time) bool { return now.Sub(s.queriedAt) >= queryInterval }

// SetPace applies the server's report on how many times slower than usual it is.
func (s *Server) SetPace(pace float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pace, s.paceAt = pace, now
}

// Pace returns how many times slower than usual the server is; 1 is its usual speed, which is assumed when nothing recent is
// known.
func (s *Server) Pace(now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pace < 1 || now.Sub(s.paceAt) > maxPaceAge {
		return 1
	}
	return s.pace
}

// NoteStaleLayers keeps new work away from a server that does not hold the layers of its entry, until the entry names other
// layers or maxStaleTime is over.
func (s *Server) NoteStaleLayers(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleUntil = now.Add(maxStaleTime)
}

// clearStale undoes NoteStaleLayers, since the entry names other layers than before.
func (s *Server) clearStale() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleUntil = time.Time{}
	if s.finding.kind == FindingStaleLayers {
		s.finding = heldFinding{}
	}
}

// Usable reports whether the server may get new work.
func (s *Server) Usable(now time.Time) bool { return !s.BackedOff(now) && s.usableIgnoringBackOff(now) }

// usableIgnoringBackOff reports whether the server may get new work apart from its back-off.
func (s *Server) usableIgnoringBackOff(now time.Time) bool {
	return s.takesWork(now) && !s.circuit.Open(now)
}

// takesWork reports whether the server may get new work apart from its back-off and its circuit breaker.
func (s *Server) takesWork(now time.Time) bool {
	return !s.Leaving() && !s.possiblyLeaving.Load() && !s.isAside(now)
}

// Chosen records for the circuit breaker that work is sent to the server.
func (s *Server) Chosen() { s.circuit.StartTrial() }

// Failed records for the circuit breaker that a request failed.
func (s *Server) Failed(now time.Time) { s.circuit.Failed(now) }

// Succeeded records for the circuit breaker that a request was answered.
func (s *Server) Succeeded() {
	s.circuit.Succeeded()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settleSilenceLocked()
}

// ReleaseTrial records for the circuit breaker that the outcome of a request says nothing about the server.
func (s *Server) ReleaseTrial() { s.circuit.ReleaseTrial() }

// Observe adds the outcome of a request to the failure rate.
func (s *Server) Observe(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeLocked(ok)
}

// observeLocked is Observe; the caller holds the lock.
func (s *Server) observeLocked(ok bool) {
	outcome := 1.0
	if ok {
		outcome = 0
	}
	s.failRate += (outcome - s.failRate) * failWeight
}

// FailRate returns the failure rate of the latest requests, from 0 to 1.
func (s *Server) FailRate() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failRate
}

// SetLoad keeps what an answer of the server says of its work; an answer that says nothing changes nothing.
func (s *Server) SetLoad(l call.Load, now time.Time) {
	if !l.Known {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadAt, s.firstStageAtLoad = l, now, s.firstStage.Load()
}

// Sequences returns the number of requests of all instances for which the server runs the first stage: what it last said, if that
// is no older than age, and the change of this instance's requests since.
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
