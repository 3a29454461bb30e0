package timer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Service tells the time and delivers ticks to its subscribers.
type Service struct {
	clock clockwork.Clock
}

// New returns a Service over the given clock.
func New(clock clockwork.Clock) *Service { return &Service{clock: clock} }

// NewReal returns a Service over the machine's clock.
func NewReal() *Service { return New(clockwork.NewRealClock()) }

// Now returns the current time.
func (s *Service) Now() time.Time { return s.clock.Now() }

// Since returns the time that has passed since t.
func (s *Service) Since(t time.Time) time.Duration { return s.clock.Since(t) }

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
