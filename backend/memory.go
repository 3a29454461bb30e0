package backend

import "time"

// memory is what a chained engine last said of the memory of its sequences, in tokens times layers.
type memory struct {
	used  float64
	total float64
	// waiting is the number of requests that waited for memory or a place in the batch.
	waiting int
	at      time.Time
	// reservedAtReport is what this instance had reserved on the server at that time.
	reservedAtReport int64
	// refusedAt is when the server last turned work away for want of memory.
	refusedAt time.Time
}

// SetMemory keeps what the server says of its memory, for all instances.
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

// NoRoom notes that the server turned work away for want of memory. It counts as full until there has been time for its report
// to show what ended since.
func (s *Server) NoRoom(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory.refusedAt = now
}

// Filled returns the part of the server's memory that is taken by all instances: what it last said, if that is no older than
// age, and how the own reservations have changed since. What has been added counts for so many instances, since the others are
// likely to have done the same. False means that nothing is known.
func (s *Server) Filled(now time.Time, age time.Duration, instances float64) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &s.memory
	if now.Sub(m.refusedAt) < fullBackOff {
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

// Crowded reports whether requests waited on the server when it last told, so that those which have not begun may be among them.
func (s *Server) Crowded(now time.Time, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.waiting > 0 && now.Sub(s.memory.at) <= age
}

// MemoryAge returns how long ago the server told of its memory.
func (s *Server) MemoryAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.memory.at)
}
