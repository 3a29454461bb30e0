package timer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

const (
	// checkPeriod is how often the clocks are compared in the background. Code that cannot wait for the next comparison, such as
	// the handling of a new request, has them compared itself.
	checkPeriod = 100 * time.Millisecond
	// minSuspension is the shortest suspension that counts; the two clocks run at the same rate, so only suspension makes them
	// differ.
	minSuspension = 10 * time.Millisecond
	// maxReadSpan is the maximum time between the two readings of the monotonic clock around a reading of the boot clock. If the
	// process were stopped between the readings, it would take that time for a suspension. After maxReads attempts the last one
	// counts anyway.
	maxReadSpan = time.Millisecond
	maxReads    = 3
)

// sinceBoot returns the time since the machine was booted, including the time for which it was suspended.
func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// CheckSuspension compares the monotonic clock, which stops while the machine is suspended, with the boot clock, which does not.
// It returns for how long the machine has been suspended since the last call that returned a suspension. From then on Now
// includes that time.
func (s *Service) CheckSuspension() (time.Duration, error) {
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

// clockDifference returns by how much the boot clock has advanced further than the monotonic clock since the start.
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

// Suspended returns the total time for which the machine has been found suspended since the start.
func (s *Service) Suspended() time.Duration { return time.Duration(s.suspended.Load()) }

// MonotonicTime converts a time of Now into the monotonic time that the runtime's own deadlines use, which stops while the
// machine is suspended.
func (s *Service) MonotonicTime(at time.Time) time.Time { return at.Add(-s.Suspended()) }

// DeadlineIn returns the monotonic time that is limit from now, as connections take it for a deadline.
func (s *Service) DeadlineIn(limit time.Duration) time.Time {
	return s.MonotonicTime(s.Now().Add(limit))
}

// LeftUntil returns the time left until a deadline in monotonic time, such as that of a context.
func (s *Service) LeftUntil(deadline time.Time) time.Duration {
	return deadline.Sub(s.MonotonicTime(s.Now()))
}

// WatchSuspension compares the clocks periodically until ctx ends and passes each suspension, or the error of reading the boot
// clock, to report.
func (s *Service) WatchSuspension(ctx context.Context, report func(gap time.Duration, err error)) {
	ticks := s.Subscribe(checkPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			if gap, err := s.CheckSuspension(); gap > 0 || err != nil {
				report(gap, err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// deadline cancels a context at a given time.
type deadline struct {
	at    time.Time
	timer clockwork.Timer
}

// WithDeadline returns a context that is cancelled when its parent ends, at the given time or by the returned function. The time
// for which the machine is suspended counts.
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

// resetDeadlinesLocked brings the deadlines forward by the time for which the machine was suspended; the caller holds the lock.
func (s *Service) resetDeadlinesLocked() {
	now := s.Now()
	for d := range s.deadlines {
		d.timer.Reset(max(d.at.Sub(now), 0))
	}
}
