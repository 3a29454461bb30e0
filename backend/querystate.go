package backend

import "time"

// QueryState is what an instance knows of the state queries to a server, for the decision whether to query it again.
type QueryState struct {
	// QueriedAt is when this instance last queried the server, and AnsweredAt when it last got an answer.
	QueriedAt  time.Time
	AnsweredAt time.Time
	// ReportedAt is when the server was queried for the latest report, whichever instance did that; Own is true if this one did,
	// and Silent if the server did not answer.
	ReportedAt time.Time
	Own        bool
	Silent     bool
	// RefusedAt is when the server last caused the refusal of a request of this instance.
	RefusedAt time.Time
	// FoundWellAt is when a diagnosis of stalled streams of any instance last found the server well, FoundWell how often in a row.
	FoundWellAt time.Time
	FoundWell   int
}

const (
	// foundWellMemory is the greatest time between two diagnoses in a row that found the server well; after a longer time the count
	// begins anew.
	foundWellMemory = 600 * time.Millisecond
	// maxFoundWellAge is how old such a diagnosis may be to be passed on to other instances.
	maxFoundWellAge = time.Second
)

// foundWell counts the diagnoses of stalled streams in a row, of all instances, that found a server well; at is the time of the
// last one.
type foundWell struct {
	at    time.Time
	count int
}

// note adds a diagnosis. One that is less than minNewer after the last one counts as the same: it has come back from another
// instance.
func (f *foundWell) note(at time.Time) {
	since := at.Sub(f.at)
	switch {
	case since < minNewer:
		return
	case since > foundWellMemory:
		f.count = 0
	}
	f.at = at
	f.count++
}

// QueryState returns what is known of the state queries to the server.
func (s *Server) QueryState() QueryState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return QueryState{
		QueriedAt: s.queriedAt, AnsweredAt: s.answeredAt, RefusedAt: s.refusedAt,
		ReportedAt: s.reportSource.queriedAt, Own: s.reportSource.own, Silent: s.reportSource.silent,
		FoundWellAt: s.foundWell.at, FoundWell: s.foundWell.count,
	}
}

// NoteFoundWell records that a diagnosis of stalled streams that began at a time has found the server well.
func (s *Server) NoteFoundWell(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.foundWell.note(at)
}

// NoteQuery records that this instance queries the server now.
func (s *Server) NoteQuery(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queriedAt = now
}

// NoteRefused records that the server caused the refusal of a request of this instance.
func (s *Server) NoteRefused(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedAt = now
}
