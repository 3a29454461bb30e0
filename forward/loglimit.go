package forward

import (
	"maps"
	"sync"
	"time"
)

// logPeriod is the least time between two log lines about what can change many times a second, as the lanes of a service do
// while servers are set aside and return.
const logPeriod = time.Second

// logLimiter limits the rate of log lines by service; its zero value is ready for use.
type logLimiter struct {
	mu sync.Mutex
	at map[string]time.Time
}

// allow reports whether a log line about a service is allowed now, and counts it as written.
func (l *logLimiter) allow(service string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.at[service]) < logPeriod {
		return false
	}
	if l.at == nil {
		l.at = map[string]time.Time{}
	}
	maps.DeleteFunc(l.at, func(_ string, at time.Time) bool { return now.Sub(at) >= logPeriod })
	l.at[service] = now
	return true
}
