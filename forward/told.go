package forward

import (
	"sync"
	"time"
)

// tellPeriod bounds the lines on what changes many times a second, as the lanes of a service do while servers are set aside and come back.
const tellPeriod = time.Second

// told keeps when each service last had a line; its zero value is ready for use.
type told struct {
	mu sync.Mutex
	at map[string]time.Time
}

// may reports whether a service may have a line now, and counts that as done.
func (t *told) may(service string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.at[service]) < tellPeriod {
		return false
	}
	if t.at == nil {
		t.at = map[string]time.Time{}
	}
	t.at[service] = now
	return true
}
