package backend

import (
	"sync"

	"junctioncross/call"
)

// limiter keeps the limit that a server names in its answers.
type limiter struct {
	mu    sync.Mutex
	named call.Limit
}

// NameLimit takes over the limit that an answer names, or that it names none, and reports whether that is new. A limit that cannot be read
// changes nothing.
func (s *Server) NameLimit(l call.Limit) bool {
	s.limiter.mu.Lock()
	defer s.limiter.mu.Unlock()
	if l.Named && l.PerSecond < 0 || l == s.limiter.named {
		return false
	}
	s.limiter.named = l
	return true
}
