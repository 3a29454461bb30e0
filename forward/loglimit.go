package forward

import (
	"sync"
	"time"
)

// logPeriod bounds the lines on what changes many times a second, as the lanes of a service do while servers are set aside and come back.
const logPeriod = time.Second

// logLimiter keeps when each service last had a line; its zero value is ready for use.
type logLimiter struct {
	mu sync.Mutex
	at map[string]time.Time
}

// may reports whether a service may have a line now, and counts that as done.
func (l *logLimiter) may(service string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.at[service]) < logPeriod {
		return false
	}
	if l.at == nil {
		l.at = map[string]time.Time{}
	}
	l.at[service] = now
	return true
}
