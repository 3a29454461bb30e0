package backend

import "time"

// memory is a chained engine's last report on the memory of its sequences, in tokens times layers.
type memory struct {
	used  float64
	total float64
	// waiting is the number of requests that waited for memory or a place in the batch.
	waiting int
	// at is when the server was queried for the report.
	at time.Time
	// reservedAtReport is what this instance had reserved on the server when it applied the report.
	reservedAtReport int64
	// refusedAt is when the server last refused work for lack of memory.
	refusedAt time.Time
}

// SetMemory applies the server's report on its memory; the report includes the requests of all instances.
func (s *Server) SetMemory(used, total float64, waiting int, now time.Time) {
	if total <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory.used, s.memory.total, s.memory.waiting = used, total, waiting
	s.memory.at, s.memory.reservedAtReport = now, s.reserved.Load()
	s.reportSource = reportSource{queriedAt: now, learnedAt: now, own: true}
}

// NoteMemoryFull records that the server refused work for lack of memory. It counts as full for fullBackOff, so that there is
// time for its report to show which requests have ended since.
func (s *Server) NoteMemoryFull(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory.refusedAt = now
}

// Filled returns the fraction of the server's memory that all instances use: what its last report said, if that is no older than
// age, and the change of this instance's reservations since. An increase is multiplied by instances, since the other instances
// have probably added as much. A server that has just refused work for lack of memory counts as full. False means that the
// fraction is not known.
func (s *Server) Filled(now time.Time, age time.Duration, instances float64) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &s.memory
	if now.Sub(m.refusedAt) < fullBackOff || s.finding.full(now) {
		return 1, true
	}
	if m.total <= 0 || now.Sub(m.at) > age {
		return 0, false
	}
	change := float64(s.reserved.Load() - m.reservedAtReport)
	if change > 0 {
		change *= instances
	}
	return max(m.used+change, 0) / m.total, true
}

// HasQueue reports whether requests waited on the server at its last report, if that is no older than age. Requests that have not
// begun may be among the waiting ones.
func (s *Server) HasQueue(now time.Time, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.waiting > 0 && now.Sub(s.memory.at) <= age
}

// MemoryAge returns the age of the server's last report on its memory.
func (s *Server) MemoryAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.memory.at)
}
