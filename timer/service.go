package timer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// Service provides the time, ticks, sleeps and deadlines. The time and the contexts of WithDeadline include the time for which
// the machine was suspended; After, Sleep, WithTimeout and ticks do not.
type Service struct {
	clock clockwork.Clock
	// bootClock returns the time since a moment before the start, including suspension; it is nil on a machine that is never
	// suspended.
	bootClock func() (time.Duration, error)
	// bootStart and monotonicStart are the readings of the boot clock and of the monotonic clock at the start.
	bootStart      time.Duration
	monotonicStart time.Time
	// suspended is the total time for which the machine has been found suspended since the start, in nanoseconds.
	suspended atomic.Int64

	mu sync.Mutex
	// deadlines holds the pending deadlines of WithDeadline.
	deadlines map[*deadline]struct{}

	delayMu sync.Mutex
	delays  delays
}

// New returns a Service on the given clock for a machine that is never suspended.
func New(clock clockwork.Clock) *Service {
	return &Service{clock: clock, deadlines: map[*deadline]struct{}{}}
}

// NewWithBootClock returns a Service on a monotonic clock, which stops while the machine is suspended, and on a boot clock, which
// does not. It returns the error of reading the boot clock.
func NewWithBootClock(clock clockwork.Clock, bootClock func() (time.Duration, error)) (*Service, error) {
	s := New(clock)
	at, err := bootClock()
	if err != nil {
		return nil, errors.Wrap(err, "timer: read the boot clock")
	}
	s.bootClock, s.bootStart, s.monotonicStart = bootClock, at, clock.Now()
	return s, nil
}

// NewReal returns a Service on the machine's monotonic clock.
func NewReal() *Service { return New(clockwork.NewRealClock()) }

// NewSuspendable returns a Service on the machine's monotonic and boot clocks, for a machine that may be suspended. It returns
// the error of reading the boot clock.
func NewSuspendable() (*Service, error) { return NewWithBootClock(clockwork.NewRealClock(), sinceBoot) }

// Now returns the current time, including the suspensions that have been found so far.
func (s *Service) Now() time.Time { return s.clock.Now().Add(s.Suspended()) }

// Since returns the time that has passed since t.
func (s *Service) Since(t time.Time) time.Duration { return s.Now().Sub(t) }

// After returns a channel that delivers the time once, when d has passed.
func (s *Service) After(d time.Duration) <-chan time.Time { return s.clock.After(d) }

// Sleep waits until d has passed and returns true; it returns false if ctx ends first.
func (s *Service) Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-s.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// WithTimeout returns a context that ends when its parent ends, when d has passed or when it is cancelled.
func (s *Service) WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(parent, s.clock, d)
}

// Subscribe returns a Subscription that delivers the time every period until it is stopped.
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
