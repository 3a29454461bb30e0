package backend

import (
	"time"

	"junctioncross/lenient"
)

const (
	// minNewer is how much newer a report must be to replace another one. A report of this instance comes back from other
	// instances, and seems newer by the time that it was in transit.
	minNewer = 100 * time.Millisecond
	// sharedSilenceTime is how long a server gets no new work after another instance got no answer from it. The time is extended
	// while instances still get no answers; a single lost packet keeps work away for no longer than this.
	sharedSilenceTime = time.Second
	// slowPace is how many times slower than usual a server has to be for its report to be shared at once.
	slowPace = 1.5
)

// SharedReport is a shared report: what one instance knows of the state of a chained engine's server, as it passes it on to other
// instances.
type SharedReport struct {
	// ID is the server's name.
	ID string `cbor:"1,keyasint"`
	// Born is the start time of the server's incarnation, in milliseconds since 1970; 0 means that the server did not say.
	Born int64 `cbor:"8,keyasint,omitempty"`
	// Age is how long ago the server was queried.
	Age time.Duration `cbor:"2,keyasint"`
	// Silent is true when the server did not answer.
	Silent bool `cbor:"3,keyasint,omitempty"`
	// Pace is how many times slower than usual the server was by its report.
	Pace float64 `cbor:"4,keyasint,omitempty"`
	// Used and Total count memory in tokens times layers.
	Used  float64 `cbor:"5,keyasint,omitempty"`
	Total float64 `cbor:"6,keyasint,omitempty"`
	// Waiting is the number of requests that waited for memory or a place in the batch.
	Waiting int `cbor:"7,keyasint,omitempty"`
	// FoundWell is how long ago a diagnosis of stalled streams last found the server well; 0 means that none has lately.
	FoundWell time.Duration `cbor:"10,keyasint,omitempty"`
	// Findings holds findings about servers. They travel in an element of their own, without an ID, which instances that know no
	// findings ignore.
	Findings lenient.List[Finding] `cbor:"9,keyasint,omitempty"`
}

// reportSource describes where the latest report on a server comes from.
type reportSource struct {
	// queriedAt is when the server was queried, and learnedAt is when this instance learned of the result.
	queriedAt time.Time
	learnedAt time.Time
	// own is true if this instance made the query.
	own bool
	// silent is true if the server did not answer.
	silent bool
}

// bad reports whether the server that the report describes should get no new work if other servers can take it.
func (r SharedReport) bad() bool { return r.Silent || r.Pace >= slowPace }

// NoteAnswer records that the server answered a state query that this instance sent at a time. If it had been silent, that explains what other servers
// that waited for it and requests that broke said of it meanwhile.
func (s *Server) NoteAnswer(sentAt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt, s.sharedSilentUntil, s.laterBorn = later(s.answeredAt, sentAt), time.Time{}, 0
	if !s.silence.since.IsZero() {
		s.silenceEndedAt = now
		s.forgiveSilenceLocked()
	}
	s.takeBackLocked(now)
}

// AnsweredSince reports whether the server has answered a state query that this instance sent at the given time or later.
func (s *Server) AnsweredSince(moment time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.answeredAt.IsZero() && !s.answeredAt.Before(moment)
}

// SharedReport returns the latest report on the server, if the instance learned of it after the given time; ownOnly leaves out
// reports from other instances.
func (s *Server) SharedReport(after, now time.Time, ownOnly bool) (SharedReport, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reportSource.learnedAt.After(after) || ownOnly && !s.reportSource.own {
		return SharedReport{}, false
	}
	return s.reportLocked(now), true
}

// reportLocked returns the latest report on the server; the caller holds the lock.
func (s *Server) reportLocked(now time.Time) SharedReport {
	r := SharedReport{ID: s.incarnation.ID, Born: s.incarnation.Born, Age: max(now.Sub(s.reportSource.queriedAt), 0), Silent: s.reportSource.silent}
	if age := now.Sub(s.foundWell.at); age <= maxFoundWellAge {
		r.FoundWell = max(age, 1)
	}
	if !r.Silent {
		r.Pace, r.Used, r.Total, r.Waiting = s.pace, s.memory.used, s.memory.total, s.memory.waiting
	}
	return r
}

// ReportAge returns the age of the latest report on the server, whichever instance queried it.
func (s *Server) ReportAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.reportSource.queriedAt)
}

// ApplySharedReport applies a report from another instance, if it has no fault and is newer than the latest one. It reports whether the
// server was good by the former report and is bad by this one: silent or slow.
func (s *Server) ApplySharedReport(r SharedReport, now time.Time) bool {
	if r.Fault().Name != "" {
		return false
	}
	at := now.Add(-max(r.Age, 0))
	s.mu.Lock()
	if r.FoundWell > 0 && r.FoundWell <= maxFoundWellAge {
		s.foundWell.note(now.Add(-r.FoundWell))
	}
	if at.Sub(s.reportSource.queriedAt) < minNewer {
		s.mu.Unlock()
		return false
	}
	was := s.reportLocked(now).bad()
	s.reportSource = reportSource{queriedAt: at, learnedAt: now, silent: r.Silent}
	if r.Silent {
		s.sharedSilentUntil = later(s.sharedSilentUntil, at.Add(sharedSilenceTime))
	} else {
		s.sharedSilentUntil = time.Time{}
		if s.silence.connected && at.After(s.silence.at) {
			s.silenceEndedAt = now
			s.forgiveSilenceLocked()
		}
		s.takeBackLocked(at.Add(-minNewer))
	}
	if !r.Silent && r.Total > 0 {
		s.pace, s.paceAt = r.Pace, at
		s.memory.used, s.memory.total, s.memory.waiting = r.Used, r.Total, r.Waiting
		s.memory.at, s.memory.reservedAtReport = at, s.reserved.Load()
	}
	s.mu.Unlock()
	return r.bad() && !was
}
