package relay

import (
	"context"
	"sync"
)

// epoch is a time in which the store has answered. When a call fails, all others that wait for the store end as well:
// they hang on connections that may be dead, and would not notice for the rest of their waits that the store is back.
type epoch struct {
	mu       sync.Mutex
	ctx      context.Context
	cancel   context.CancelFunc
	doubtful bool
	// again is closed when the store has answered after a failure.
	again chan struct{}
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
	return e.ctx, e.doubtful
}

// sound says that the store has answered.
func (e *epoch) sound() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.doubtful {
		e.doubtful = false
		close(e.again)
	}
}

// whenSound returns what is closed once the store has answered after its last failure, nil while it is not in doubt.
func (e *epoch) whenSound() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.doubtful {
		return nil
	}
	return e.again
}

// doubt ends the epoch; while the store stays in doubt, calls that wait are short and are left alone.
func (e *epoch) doubt() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.doubtful {
		return
	}
	e.doubtful = true
	e.again = make(chan struct{})
	e.cancel()
	e.ctx, e.cancel = context.WithCancel(context.Background())
}
