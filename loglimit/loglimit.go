package loglimit

import (
	"maps"
	"sync"
	"time"
)

// logPeriod is the least time between two log lines about what can change many times a second, as the lanes of a service do
// while servers are set aside and return.
const logPeriod = time.Second

// Limiter limits the rate of log lines by what they are about; its zero value is ready for use. It is safe for concurrent use.
type Limiter struct {
	mu sync.Mutex
	at map[string]time.Time
}

// Allow reports whether a log line about something is allowed now, and counts it as written.
func (l *Limiter) Allow(about string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.at[about]) < logPeriod {
		return false
	}
	if l.at == nil {
		l.at = map[string]time.Time{}
	}
	maps.DeleteFunc(l.at, func(_ string, at time.Time) bool { return now.Sub(at) >= logPeriod })
	l.at[about] = now
	return true
}
