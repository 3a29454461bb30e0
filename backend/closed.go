package backend

import "time"

// ClosedSince reports whether the server takes no new work at a given time for a reason that may have come up after a path through it
// was chosen: it leaves, is backed off or set aside, or has refused work for lack of memory since.
func (s *Server) ClosedSince(chosen, now time.Time) bool {
	if s.BackedOff(now) || s.PossiblyLeaving() || s.isAside(now) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.memory.refusedAt.After(chosen)
}
