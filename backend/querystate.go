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
}

// QueryState returns what is known of the state queries to the server.
func (s *Server) QueryState() QueryState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return QueryState{
		QueriedAt: s.queriedAt, AnsweredAt: s.answeredAt, RefusedAt: s.refusedAt,
		ReportedAt: s.reportSource.queriedAt, Own: s.reportSource.own, Silent: s.reportSource.silent,
	}
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
