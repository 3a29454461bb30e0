package backend

import "time"

const (
	// minNewer is how much newer a word must be to replace another one: the same word comes back over other instances, and looks younger by
	// the time that it was under way.
	minNewer = 100 * time.Millisecond
	// sharedSilenceTime is how long a server gets no new work after another instance has found it silent. It is renewed while others find the
	// same; a packet that one of them lost costs the server no more.
	sharedSilenceTime = time.Second
	// slowPace is how many times slower than usual a server has to be for all to hear of it at once.
	slowPace = 1.5
)

// Word is what one instance knows of the state of a chained engine, as it passes it on to others.
type Word struct {
	ID string `cbor:"1,keyasint"`
	// Born tells which start of the server the word is on.
	Born int64 `cbor:"8,keyasint,omitempty"`
	// Age is how long ago the server was asked.
	Age time.Duration `cbor:"2,keyasint"`
	// Silent is true when the server did not answer.
	Silent bool `cbor:"3,keyasint,omitempty"`
	// Pace is how many times slower than usual the server said to be.
	Pace float64 `cbor:"4,keyasint,omitempty"`
	// Used and Total count memory in tokens times layers.
	Used  float64 `cbor:"5,keyasint,omitempty"`
	Total float64 `cbor:"6,keyasint,omitempty"`
	// Waiting is the number of requests that waited.
	Waiting int `cbor:"7,keyasint,omitempty"`
}

// reportSource is where the newest word on a server comes from.
type reportSource struct {
	// queriedAt is when the server was asked, and heard when this instance learned of it.
	queriedAt time.Time
	learnedAt time.Time
	// own is true when this instance asked.
	own    bool
	silent bool
}

// bad reports whether a server of which w is known should get no new work where others can take it.
func (w Word) bad() bool { return w.Silent || w.Pace >= slowPace }

// NoteAnswer keeps that the server answered a question of this instance.
func (s *Server) NoteAnswer(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt = now
}

// AnsweredSince reports whether the server has answered a question of this instance after a moment.
func (s *Server) AnsweredSince(moment time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answeredAt.After(moment)
}

// SilentSince reports whether the server has left a question of this instance unanswered after a moment.
func (s *Server) SilentSince(moment time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silentAt.After(moment)
}

// NoteSilent keeps that the server did not answer this instance.
func (s *Server) NoteSilent(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentAt = now
	s.reportSource = reportSource{queriedAt: now, learnedAt: now, own: true, silent: true}
}

// Word returns the newest word on the server if the instance learned of it after a moment; ownOnly leaves out what others passed on.
func (s *Server) Word(after, now time.Time, ownOnly bool) (Word, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reportSource.learnedAt.After(after) || ownOnly && !s.reportSource.own {
		return Word{}, false
	}
	return s.reportLocked(now), true
}

func (s *Server) reportLocked(now time.Time) Word {
	w := Word{ID: s.incarnation.ID, Born: s.incarnation.Born, Age: now.Sub(s.reportSource.queriedAt), Silent: s.reportSource.silent}
	if !w.Silent {
		w.Pace, w.Used, w.Total, w.Waiting = s.pace, s.memory.used, s.memory.total, s.memory.waiting
	}
	return w
}

// WordAge returns how long ago the server was asked by any instance, as far as known.
func (s *Server) WordAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.reportSource.queriedAt)
}

// Hear takes over what another instance passed on, if it is newer than what is known, and reports whether the server turned bad by it.
func (s *Server) Hear(w Word, now time.Time) bool {
	at := now.Add(-w.Age)
	s.mu.Lock()
	if at.Sub(s.reportSource.queriedAt) < minNewer {
		s.mu.Unlock()
		return false
	}
	was := s.reportLocked(now).bad()
	s.reportSource = reportSource{queriedAt: at, learnedAt: now, silent: w.Silent}
	if !w.Silent && w.Total > 0 {
		s.pace, s.paceAt = w.Pace, at
		s.memory.used, s.memory.total, s.memory.waiting = w.Used, w.Total, w.Waiting
		s.memory.at, s.memory.reservedAtReport = at, s.reserved.Load()
	}
	s.mu.Unlock()
	if w.Silent {
		s.SetAside(at.Add(sharedSilenceTime))
	}
	return w.bad() && !was
}
