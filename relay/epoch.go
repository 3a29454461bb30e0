package relay

import (
	"context"
	"sync"
)

// epoch is a time in which the store has answered. When a call fails, all others that wait for the store end as well:
// they hang on connections that may be dead, and would not notice for the rest of their waits that the store is back.
type epoch struct {
	mu      sync.Mutex
	ctx     context.Context
	cancel  context.CancelFunc
	suspect bool
	// healthy is closed when the store has answered after a failure.
	healthy chan struct{}
}

func newEpoch() *epoch {
	e := &epoch{}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// current returns a context that ends with the epoch, and whether the store's last answer was a failure.
func (e *epoch) current() (context.Context, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ctx, e.suspect
}

// markHealthy says that the store has answered.
func (e *epoch) markHealthy() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.suspect {
		e.suspect = false
		close(e.healthy)
	}
}

// whenHealthy returns what is closed once the store has answered after its last failure, nil while it is not in doubt.
func (e *epoch) whenHealthy() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.suspect {
		return nil
	}
	return e.healthy
}

// markSuspect ends the epoch; while the store stays in markSuspect, calls that wait are short and are left alone.
func (e *epoch) markSuspect() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.suspect {
		return
	}
	e.suspect = true
	e.healthy = make(chan struct{})
	e.cancel()
	e.ctx, e.cancel = context.WithCancel(context.Background())
}
