package backend

import (
	"time"

	"junctioncross/models"
)

// MaxSoundSilence is how long a sound server may leave state queries unanswered.
const MaxSoundSilence = 1500 * time.Millisecond

// silence is for how long a server has left the state queries of this instance unanswered.
type silence struct {
	// since is when the first query went unanswered since the server last answered, and at when the latest one did; both are zero
	// while the server answers.
	since, at time.Time
	// unreachable is true if no connection came up for the latest query of which that is known; a sound server accepts connections while
	// it is silent.
	unreachable bool
	// connected is true if a connection was there for that query, so that the path to the server is sound.
	connected bool
}

// note adds an unanswered query.
func (s *silence) note(now time.Time) {
	if s.since.IsZero() {
		s.since = now
	}
	s.at = now
}

// Reachability is what an unanswered query says of connections to its server.
type Reachability int

// The values of Reachability.
const (
	// ReachableUnknown means that the query does not tell.
	ReachableUnknown Reachability = iota
	// Connected means that a connection was there.
	Connected
	// NotConnected means that none came up.
	NotConnected
)

// NoteSilent records that the server did not answer a state query of this instance.
func (s *Server) NoteSilent(r Reachability, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	learnedAt := now
	if !s.silence.since.IsZero() && s.reportSource.own && s.reportSource.silent {
		// Other instances hear of a silence once: one with a bad path must not keep the server from all of them.
		learnedAt = s.reportSource.learnedAt
	}
	s.silence.note(now)
	if r != ReachableUnknown {
		s.silence.unreachable, s.silence.connected = r == NotConnected, r == Connected
	}
	s.reportSource = reportSource{queriedAt: now, learnedAt: learnedAt, own: true, silent: true}
}

// Unreachable reports whether the server is silent and no connection came up for the latest query that tells.
func (s *Server) Unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silence.unreachable
}

// SilentFor returns for how long the server is known to have left state queries of this instance unanswered; 0 means that it has
// answered the latest one.
func (s *Server) SilentFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silence.at.Sub(s.silence.since)
}

// IsSilent reports whether the server has left the latest state query of this instance unanswered.
func (s *Server) IsSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.silence.since.IsZero()
}

// AnsweredAgainSince reports whether a silence of the server ended after the given time.
func (s *Server) AnsweredAgainSince(moment time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silenceEndedAt.After(moment)
}

// PresumedEnded reports whether the server is known to have terminated, or has been silent for longer than sound servers are.
func (s *Server) PresumedEnded() bool { return s.Ended() || s.SilentFor() >= MaxSoundSilence }

// LeftSilent records that a request left the server because it was silent for too long. While that is no longer than sound servers are
// silent, it changes nothing but the circuit breaker: how many requests were there says nothing of the server.
func (s *Server) LeftSilent(now time.Time) {
	s.circuit.FailedSilent(now, MaxSoundSilence)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leftSilent++
	if s.circuit.Late(now, MaxSoundSilence) {
		return
	}
	for range s.leftSilent {
		s.observeLocked(false)
	}
	s.leftSilent = 0
}

// Late reports whether the server would be usable had requests not left it in a silence that sound servers may have.
func (s *Server) Late(now time.Time) bool {
	return !s.BackedOff(now) && s.takesWork(now) && s.circuit.Late(now, MaxSoundSilence)
}

// settleSilenceLocked counts a silence that is over as one failure; the caller holds the lock.
func (s *Server) settleSilenceLocked() {
	if s.leftSilent > 0 {
		s.observeLocked(false)
	}
	s.leftSilent = 0
}

// ForgiveSilence takes the server out of suspicion: it did not answer since the path to it was lost.
func (s *Server) ForgiveSilence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgiveSilenceLocked()
}

// forgiveSilenceLocked ends all that was concluded from the server's silence; the caller holds the lock.
func (s *Server) forgiveSilenceLocked() {
	s.suspectUntil, s.sharedSilentUntil, s.silence = time.Time{}, time.Time{}, silence{}
	s.circuit.Succeeded()
	s.settleSilenceLocked()
}

// NoteReportedLayers records the layers that the server holds by its report to this instance.
func (s *Server) NoteReportedLayers(layers models.Layers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedLayers = layers
}

// ReportedLayers returns the layers that the server held by its latest report to this instance.
func (s *Server) ReportedLayers() models.Layers {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reportedLayers
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
