package timer

import "time"

const (
	// delayWindow is for how long a noted delay counts.
	delayWindow = 3 * time.Second
	// recentDelay is for how long it counts as the present one.
	recentDelay = time.Second
	// turnsPerAnswer is how many turns of this process an answer of another party takes: to connect, to send, to receive, and to hand the
	// answer on.
	turnsPerAnswer = 4
	// longestExtension bounds by how much a limit is extended: a process that was stopped for seconds is not late any more, and a connection
	// that does not come up must not keep a request for long.
	longestExtension = time.Second
)

// delays holds by how much the process lately got the processor later than it could have used it.
type delays struct {
	noted []notedDelay
	// nextDue is when the next delay is to be noted; zero if none is expected.
	nextDue time.Time
}

type notedDelay struct {
	at    time.Time
	delay time.Duration
}

// since returns the longest delay since a moment. That the next one is overdue is a delay as well: a process that was stopped may run
// anything else first.
func (d *delays) since(moment, now time.Time) time.Duration {
	longest := time.Duration(0)
	if !d.nextDue.IsZero() {
		longest = max(now.Sub(d.nextDue), 0)
	}
	for i := len(d.noted) - 1; i >= 0 && !d.noted[i].at.Before(moment); i-- {
		longest = max(longest, d.noted[i].delay)
	}
	return longest
}

// NoteDelay records by how much the process lately got the processor later than it could have used it; it is to be called again after
// the given time.
func (s *Service) NoteDelay(delay, next time.Duration) {
	now := s.clock.Now()
	s.delayMu.Lock()
	defer s.delayMu.Unlock()
	d := &s.delays
	old := 0
	for old < len(d.noted) && now.Sub(d.noted[old].at) > delayWindow {
		old++
	}
	d.noted = append(d.noted[old:], notedDelay{at: now, delay: delay})
	d.nextDue = now.Add(next)
}

// Delay returns the longest recent delay of the process on its way to the processor.
func (s *Service) Delay() time.Duration {
	now := s.clock.Now()
	s.delayMu.Lock()
	defer s.delayMu.Unlock()
	return s.delays.since(now.Add(-recentDelay), now)
}

// Patience returns a limit on the wait for another party, extended by what the own delay adds to the wait.
func (s *Service) Patience(limit time.Duration) time.Duration {
	return limit + min(turnsPerAnswer*s.Delay(), longestExtension)
}

// DelayedSince reports whether the own delay explains that a wait since the given time of Now, which another party ends within the limit,
// has outlasted that limit. A shorter wait has failed for another reason.
func (s *Service) DelayedSince(begun time.Time, limit time.Duration) bool {
	now, start := s.clock.Now(), s.MonotonicTime(begun)
	waited := now.Sub(start)
	s.delayMu.Lock()
	defer s.delayMu.Unlock()
	return waited >= limit && waited < limit+turnsPerAnswer*s.delays.since(start, now)
}
