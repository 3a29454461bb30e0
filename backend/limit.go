package backend

import (
	"math/rand/v2"
	"sync"
	"time"

	"junctioncross/call"
	"junctioncross/retry"
)

// limiter keeps the rate limit that a server names in its answers, and spaces this instance's requests by it.
type limiter struct {
	mu    sync.Mutex
	limit call.Limit
	// namedAt is when an answer last named a limit.
	namedAt time.Time
	pacer   retry.Pacer
}

// UpdateLimit applies what an answer says of the server's rate limit, and reports whether that changed the limit; sent is when
// the answered request was sent. A limit that cannot be parsed changes nothing. An answer without a limit ends the limit only if
// its request was sent after the last answer that named one, since answers on different connections overtake each other.
func (s *Server) UpdateLimit(l call.Limit, sent, now time.Time) bool {
	k := &s.limiter
	k.mu.Lock()
	defer k.mu.Unlock()
	if l.Named && l.PerSecond < 0 || !l.Named && !sent.After(k.namedAt) {
		return false
	}
	was := k.limit
	k.limit = l
	if l.Named {
		k.namedAt = now
	}
	if l.Named && !was.Named {
		k.pacer = retry.NewPacer(now, rand.Float64())
	}
	return l != was
}

// WithinLimit reports whether the server's rate limit, if it names one, lets this instance send a request now; instances is the
// number of instances that share the limit.
func (s *Server) WithinLimit(instances int, now time.Time) bool {
	k := &s.limiter
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.readyLocked(instances, now)
}

// TakePermit is like WithinLimit, but uses up the permit: if it returns true, the caller must send a request.
func (s *Server) TakePermit(instances int, now time.Time) bool {
	k := &s.limiter
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.readyLocked(instances, now) {
		return false
	}
	k.pacer.Sent(k.quota(instances), now, rand.Float64())
	return true
}

// NextPermit returns when the server's rate limit lets this instance send the next request, and the time between two requests;
// instances is the number of instances that share the limit. False means that the server names no limit.
func (s *Server) NextPermit(instances int) (next time.Time, period time.Duration, limited bool) {
	k := &s.limiter
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.limit.Named {
		return time.Time{}, 0, false
	}
	quota := k.quota(instances)
	return k.pacer.Next(quota), quota.Period(), true
}

func (k *limiter) quota(instances int) retry.Quota {
	return retry.QuotaOf(k.limit.PerSecond, instances)
}

func (k *limiter) readyLocked(instances int, now time.Time) bool {
	return !k.limit.Named || k.pacer.Ready(k.quota(instances), now, rand.Float64())
}

// limited reports whether the server names a limit.
func (s *Server) limited() bool {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	return s.limiter.limit.Named
}

// inheritLimit takes over the limit that the same incarnation of the server has named.
func (s *Server) inheritLimit(former *Server) {
	former.limiter.mu.Lock()
	limit, namedAt, pacer := former.limiter.limit, former.limiter.namedAt, former.limiter.pacer
	former.limiter.mu.Unlock()
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	s.limiter.limit, s.limiter.namedAt, s.limiter.pacer = limit, namedAt, pacer
}
