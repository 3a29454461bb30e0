package backend

import "time"

// FindingKind says what an instance has found out about a server.
type FindingKind uint8

// Kinds of findings; the numbers are part of messages.
const (
	// FindingSilent means that the server did not answer a state query.
	FindingSilent FindingKind = 1
	// FindingNotListening means that nothing listens at the server's address.
	FindingNotListening FindingKind = 2
	// FindingRefusing means that the server caused a refusal although it is not known to be full: it is probably dead or leaving.
	FindingRefusing FindingKind = 3
	// FindingStaleLayers means that the server does not hold the layers of its entry.
	FindingStaleLayers FindingKind = 4
	// FindingFull means that the server refused work for lack of memory.
	FindingFull FindingKind = 5
)

// refusingHold is how long after a finding a server that caused a refusal gets no new work.
const refusingHold = 500 * time.Millisecond

// Known reports whether the kind is one of those defined here.
func (k FindingKind) Known() bool { return k >= FindingSilent && k <= FindingFull }

// String returns the kind's name for logs and metrics.
func (k FindingKind) String() string {
	switch k {
	case FindingSilent:
		return "silent"
	case FindingNotListening:
		return "not listening"
	case FindingRefusing:
		return "refusing"
	case FindingStaleLayers:
		return "giving up layers"
	case FindingFull:
		return "full"
	default:
		return "unknown"
	}
}

// Unreachable reports whether the kind says that the server could not be reached, which may be the fault of the instance.
func (k FindingKind) Unreachable() bool { return k == FindingSilent || k == FindingNotListening }

// HoldTime returns for how long, counted from when it was made, a finding keeps new work away from its server.
func (k FindingKind) HoldTime() time.Duration {
	switch k {
	case FindingFull:
		return fullBackOff
	case FindingRefusing:
		return refusingHold
	case FindingStaleLayers:
		return maxStaleTime
	default:
		return sharedSilenceTime
	}
}

// Finding is what one instance has found out about a server, as it is passed on to others.
type Finding struct {
	// Server and Born identify the incarnation; a Born of 0 means that the server did not say.
	Server string `cbor:"1,keyasint"`
	Born   int64  `cbor:"2,keyasint,omitempty"`
	// Kind is what was found, Age how long ago.
	Kind FindingKind   `cbor:"3,keyasint"`
	Age  time.Duration `cbor:"4,keyasint"`
	// Source is the name of the instance that made the finding, Domain its failure domain.
	Source string `cbor:"5,keyasint"`
	Domain string `cbor:"6,keyasint,omitempty"`
}

// heldFinding is the finding of another instance that keeps new work away from a server.
type heldFinding struct {
	kind FindingKind
	// at is when the finding was made, until when its effect ends.
	at    time.Time
	until time.Time
}

// HoldByFinding keeps new work away from the server until a time, because of a finding of another instance that was made at a
// moment. It replaces an earlier finding.
func (s *Server) HoldByFinding(kind FindingKind, at, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finding = heldFinding{kind: kind, at: at, until: until}
}

// HeldByFinding reports whether the finding that was made at a moment still keeps new work away from the server.
func (s *Server) HeldByFinding(at, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finding.at.Equal(at) && now.Before(s.finding.until)
}

// TakeBackFinding ends the effect of a finding that the server cannot be reached, which was made before a moment at which it was
// alive.
func (s *Server) TakeBackFinding(alive time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finding.kind.Unreachable() {
		s.takeBackLocked(alive)
	}
}

// DropFinding ends the effect of the finding that was made at a moment.
func (s *Server) DropFinding(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finding.at.Equal(at) {
		s.finding = heldFinding{}
	}
}

// takeBackLocked ends the effect of a finding that was made before a report of the server; the caller holds the lock. A report
// does not refute that the server refuses work or does not hold its layers, which may change after it.
func (s *Server) takeBackLocked(reported time.Time) {
	if reported.After(s.finding.at) && s.finding.kind != FindingRefusing && s.finding.kind != FindingStaleLayers {
		s.finding = heldFinding{}
	}
}

// aside reports whether the finding sets its server aside.
func (f heldFinding) aside(now time.Time) bool { return f.kind != FindingFull && now.Before(f.until) }

// full reports whether the finding says that its server is full.
func (f heldFinding) full(now time.Time) bool { return f.kind == FindingFull && now.Before(f.until) }
