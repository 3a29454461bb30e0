package forward

import "time"

const (
	// returningShare is the part of the longest time that callers of a route wait below which a caller must have been elsewhere
	// before: it has used up some of its time.
	returningShare = 0.98
	// longestWaitDecay is what is left of the longest time after each request, so that it follows callers that become less patient.
	longestWaitDecay = 0.9995
	// maxRoutes bounds the routes that are remembered; their names change with configurations.
	maxRoutes = 4096
)

// waits keeps the longest time that callers of each route are ready to wait.
type waits map[string]time.Duration

// isReturning takes a caller's time into account and reports whether it is one that has come back.
func (w waits) isReturning(route string, wait time.Duration) bool {
	if len(w) >= maxRoutes {
		clear(w)
	}
	longest := max(time.Duration(float64(w[route])*longestWaitDecay), wait)
	w[route] = longest
	return float64(wait) < returningShare*float64(longest)
}

// hasReturned reports whether a request's caller was refused before, or goes on with a stream that broke off.
func (h *Handler) hasReturned(r *request) bool {
	if r.meta.ResumeAfter != "" {
		return true
	}
	if r.meta.Wait == 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.waits.isReturning(r.route.Name, r.meta.Wait)
}
