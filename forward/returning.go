package forward

import "time"

const (
	// returningShare detects returning callers: if a caller is ready to wait for less than this part of the longest wait of its
	// route, it has used up some of its time elsewhere.
	returningShare = 0.98
	// longestWaitDecay multiplies the longest wait with each request, so that it follows callers that become less patient.
	longestWaitDecay = 0.9995
	// maxRoutes bounds the routes that are kept; their names change with configurations.
	maxRoutes = 4096
)

// longestWaits keeps the longest time that callers of each route are ready to wait.
type longestWaits map[string]time.Duration

// isReturning records how long a caller is ready to wait, and reports whether it is a returning one.
func (w longestWaits) isReturning(route string, wait time.Duration) bool {
	if len(w) >= maxRoutes {
		clear(w)
	}
	longest := max(time.Duration(float64(w[route])*longestWaitDecay), wait)
	w[route] = longest
	return float64(wait) < returningShare*float64(longest)
}

// hasReturned reports whether the caller of a request was refused before, or resumes a stream that broke off.
func (h *Handler) hasReturned(r *request) bool {
	if r.meta.ResumeAfter != "" {
		return true
	}
	if r.meta.Wait == 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.longestWaits.isReturning(r.route.Name, r.meta.Wait)
}
