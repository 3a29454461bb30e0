package relay

import (
	"context"
	"sync"
)

// epoch is a period in which the store answers. When a call fails, all other calls that wait for the store are cancelled as
// well: their connections may be dead, and until the end of their waits they would not notice that the store is back.
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

// current returns a context that ends with the epoch, and whether the store is suspect, that is, whether its last answer was
// a failure.
func (e *epoch) current() (context.Context, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ctx, e.suspect
}

// markHealthy notes that the store has answered.
func (e *epoch) markHealthy() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.suspect {
		e.suspect = false
		close(e.healthy)
	}
}

// whenHealthy returns a channel that is closed once the store has answered after its last failure; it is nil while the store
// is not suspect.
func (e *epoch) whenHealthy() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.suspect {
		return nil
	}
	return e.healthy
}

// markSuspect notes that the store failed to answer, and ends the epoch. While the store stays suspect, further failures
// cancel no calls, since calls are short then.
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
