package forward

import "time"

const (
	// returnedShare is the part of the longest time that callers of a route wait below which a caller must have been elsewhere
	// before: it has used up some of its time.
	returnedShare = 0.98
	// forgetShare is what is left of the longest time after each request, so that it follows callers that become less patient.
	forgetShare = 0.9995
	// mostWaits bounds the routes that are remembered; their names change with configurations.
	mostWaits = 4096
)

// waits keeps the longest time that callers of each route are ready to wait.
type waits map[string]time.Duration

// returned takes a caller's time into account and reports whether it is one that has come back.
func (w waits) returned(route string, wait time.Duration) bool {
	if len(w) >= mostWaits {
		clear(w)
	}
	longest := max(time.Duration(float64(w[route])*forgetShare), wait)
	w[route] = longest
	return float64(wait) < returnedShare*float64(longest)
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
	return h.waits.returned(r.route.Name, r.meta.Wait)
}
