package timer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// Service tells the time and delivers ticks to its subscribers. The time counts what the machine is suspended for; ticks and pauses do not.
type Service struct {
	clock clockwork.Clock
	// bootClock tells the time since a moment before the start, with that in which the machine is suspended; nil where it never is.
	bootClock func() (time.Duration, error)
	// bootStart and steadyAt are what the two clocks told at the start.
	bootStart      time.Duration
	monotonicStart time.Time
	// suspended is for how long the machine has been suspended since, in nanoseconds.
	suspended atomic.Int64

	mu        sync.Mutex
	deadlines map[*deadline]struct{}
}

// New returns a Service over the given clock, on a machine that is never suspended.
func New(clock clockwork.Clock) *Service {
	return &Service{clock: clock, deadlines: map[*deadline]struct{}{}}
}

// NewOver returns a Service over a steady clock and one that counts suspension; it returns the error of reading that.
func NewOver(clock clockwork.Clock, bootClock func() (time.Duration, error)) (*Service, error) {
	s := New(clock)
	at, err := bootClock()
	if err != nil {
		return nil, errors.Wrap(err, "timer: read the clock that counts suspension")
	}
	s.bootClock, s.bootStart, s.monotonicStart = bootClock, at, clock.Now()
	return s, nil
}

// NewReal returns a Service over the machine's steady clock.
func NewReal() *Service { return New(clockwork.NewRealClock()) }

// NewSuspendable returns a Service over the machine's clocks; it returns the error of reading them.
func NewSuspendable() (*Service, error) { return NewOver(clockwork.NewRealClock(), sinceBoot) }

// Now returns the current time.
func (s *Service) Now() time.Time { return s.clock.Now().Add(s.Suspended()) }

// Since returns the time that has passed since t.
func (s *Service) Since(t time.Time) time.Duration { return s.Now().Sub(t) }

// After delivers the time once, when d has passed.
func (s *Service) After(d time.Duration) <-chan time.Time { return s.clock.After(d) }

// Sleep waits until d has passed and reports true, or false when ctx ends first.
func (s *Service) Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-s.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// WithTimeout returns a context that ends with its parent, when d has passed or when it is cancelled.
func (s *Service) WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(parent, s.clock, d)
}

// Subscribe delivers the time every period until the subscription is stopped.
func (s *Service) Subscribe(period time.Duration) *Subscription {
	return &Subscription{ticker: s.clock.NewTicker(period)}
}

// Subscription is a stream of ticks.
type Subscription struct {
	ticker clockwork.Ticker
}

// C returns the channel on which ticks arrive.
func (s *Subscription) C() <-chan time.Time { return s.ticker.Chan() }

// Stop ends the subscription.
func (s *Subscription) Stop() { s.ticker.Stop() }
