package timer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// checkPeriod is how often the clocks are compared. A request that comes sooner after a suspension is looked at by itself.
	checkPeriod = 100 * time.Millisecond
	// minSuspension is the shortest suspension that counts; the two clocks run at the same rate.
	minSuspension = 10 * time.Millisecond
	// maxReadSpan is how far apart the two readings between which the second clock is read may be: a process that was stopped between them
	// would take that time for a suspension. After readTries readings the last one counts.
	maxReadSpan = time.Millisecond
	maxReads    = 3
)

// sinceBoot returns the time since the machine has started, which goes on while it is suspended.
func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// Look compares the steady clock, which stands while the machine is suspended, with one that goes on, and returns for how long the machine
// has been suspended since the last look that found it to have been. From then on Now counts that time.
func (s *Service) Look() (time.Duration, error) {
	if s.bootClock == nil {
		return 0, nil
	}
	difference, err := s.clockDifference()
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	gap := difference - s.Suspended()
	if gap < minSuspension {
		return 0, nil
	}
	s.suspended.Store(int64(difference))
	s.resetDeadlinesLocked()
	return gap, nil
}

// clockDifference returns how much further the clock that counts suspension has come than the steady one since the start.
func (s *Service) clockDifference() (time.Duration, error) {
	var difference time.Duration
	for range maxReads {
		before := s.clock.Now()
		boot, err := s.bootClock()
		if err != nil {
			return 0, err
		}
		after := s.clock.Now()
		difference = boot - s.bootStart - after.Sub(s.monotonicStart)
		if after.Sub(before) <= maxReadSpan {
			break
		}
	}
	return difference, nil
}

// Suspended returns for how long the machine has been suspended since the start, as far as looks have found.
func (s *Service) Suspended() time.Duration { return time.Duration(s.suspended.Load()) }

// Steady returns a moment in the time that the runtime's own deadlines go by, which stand still while the machine is suspended.
func (s *Service) Steady(at time.Time) time.Time { return at.Add(-s.Suspended()) }

// Watch looks at the clocks until ctx ends and tells each suspension, or that the clocks cannot be read, to a function.
func (s *Service) Watch(ctx context.Context, report func(gap time.Duration, err error)) {
	ticks := s.Subscribe(checkPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			if gap, err := s.Look(); gap > 0 || err != nil {
				report(gap, err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// deadline ends a context at a moment.
type deadline struct {
	at    time.Time
	timer clockwork.Timer
}

// WithDeadline returns a context that is cancelled with its parent, at a moment or by the function that it returns. Time in which the machine
// is suspended counts.
func (s *Service) WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	d := &deadline{at: at, timer: s.clock.AfterFunc(at.Sub(s.Now()), cancel)}
	s.mu.Lock()
	s.deadlines[d] = struct{}{}
	s.mu.Unlock()
	return ctx, func() {
		s.mu.Lock()
		delete(s.deadlines, d)
		s.mu.Unlock()
		d.timer.Stop()
		cancel()
	}
}

// resetDeadlinesLocked brings deadlines forward by the time in which the machine was suspended; the caller holds the lock.
func (s *Service) resetDeadlinesLocked() {
	now := s.Now()
	for d := range s.deadlines {
		d.timer.Reset(max(d.at.Sub(now), 0))
	}
}
