package backend

import "time"

// BackOff keeps new work of this instance away from the server until the given time, since the server asked for that. Of two such
// times, the later one holds.
func (s *Server) BackOff(until time.Time) { s.backOff.storeIfLater(until) }

// BackedOff reports whether the server has asked this instance for no new work, for a time that is not over.
func (s *Server) BackedOff(now time.Time) bool { return now.Before(s.backOff.load()) }

// BackOffEnd returns when the server's back-off ends, if the back-off is the only reason why the server gets no new work. False
// means that it may get new work now, or that there is another reason.
func (s *Server) BackOffEnd(now time.Time) (time.Time, bool) {
	if !s.BackedOff(now) || !s.usableIgnoringBackOff(now) {
		return time.Time{}, false
	}
	return s.backOff.load(), true
}

// AvailableAt returns when the server may get new work again, if its back-off and its rate limit are the only reasons why it gets
// none; instances is the number of instances that share the limit. False means that it may get new work now, or that there is
// another reason.
func (s *Server) AvailableAt(instances int, now time.Time) (time.Time, bool) {
	at, backedOff := s.BackOffEnd(now)
	next, _, limited := s.NextPermit(instances)
	switch {
	case backedOff && limited && next.After(at):
		return next, true
	case backedOff:
		return at, true
	case limited && next.After(now) && s.usableIgnoringBackOff(now):
		return next, true
	default:
		return time.Time{}, false
	}
}

// NoteLeaveNotice records a leave notice: the server has said in an answer that it leaves, whatever its entry says. It reports
// whether that is new.
func (s *Server) NoteLeaveNotice(now time.Time) bool {
	if !s.leaveNotice.CompareAndSwap(false, true) {
		return false
	}
	s.NoteLeaving(now)
	return true
}

// HasNotices reports whether the server has said something to this instance that still holds: that it leaves, its rate limit, or
// a back-off that is not over.
func (s *Server) HasNotices(now time.Time) bool {
	return s.leaveNotice.Load() || s.leaving.Load() || s.limited() || s.BackedOff(now)
}

// Inherit takes over what the same incarnation of the server said to this instance before its entry vanished for a while.
func (s *Server) Inherit(former *Server) {
	s.BackOff(former.backOff.load())
	s.inheritLimit(former)
	if former.leaveNotice.Load() || former.leaving.Load() {
		s.leaveNotice.Store(true)
		s.NoteLeaving(former.leavingSince.load())
	}
}
