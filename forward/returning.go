package forward

import "time"

const (
	// returningShare detects returning callers: if a caller is ready to wait for less than this part of the longest wait of its
	// route, it has used up some of its time elsewhere.
	returningShare = 0.98
	// certainShare is the same part below which the caller has certainly returned; between the two shares it may also be a first
	// try whose caller waits less long than others.
	certainShare = 0.8
	// longestWaitDecay multiplies the longest wait with each request, so that it follows callers that become less patient.
	longestWaitDecay = 0.9995
	// maxRoutes bounds the routes that are kept; their names change with configurations.
	maxRoutes = 4096
)

// longestWaits keeps the longest time that callers of each route are ready to wait.
type longestWaits map[string]time.Duration

// shareOfLongest records how long a caller is ready to wait, and returns that as a part of the longest wait of its route.
func (w longestWaits) shareOfLongest(route string, wait time.Duration) float64 {
	if len(w) >= maxRoutes {
		clear(w)
	}
	longest := max(time.Duration(float64(w[route])*longestWaitDecay), wait)
	w[route] = longest
	return float64(wait) / float64(max(longest, 1))
}

// earlierTry says whether a caller has tried before: it probably has, or it certainly has.
type earlierTry struct{ likely, certain bool }

// hasReturned reports whether the caller of a request was refused before, or resumes a stream that broke off.
func (h *Handler) hasReturned(r *request) bool { return h.earlierTryOf(r).likely }

// earlierTryOf returns what is known of earlier tries of the caller of a request.
func (h *Handler) earlierTryOf(r *request) earlierTry {
	if r.meta.ResumeAfter != "" {
		return earlierTry{likely: true, certain: true}
	}
	if r.meta.Wait == 0 {
		return earlierTry{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	share := h.longestWaits.shareOfLongest(r.route.Name, r.meta.Wait)
	return earlierTry{likely: share < returningShare, certain: share < certainShare}
}

// noteEarlierTry records on a stream whether its caller has tried before. Where requests of different ranks compete, only a caller who
// certainly has counts as returning: a first try that is taken for a later one would be put behind others.
func (h *Handler) noteEarlierTry(f *inflight) {
	try := h.earlierTryOf(f.r)
	f.returned, f.certainlyReturned = try.likely, try.certain
	if h.rankPosition(f.r, f.r.group.Service().Name).ranksDiffer() {
		f.returned = try.certain
	}
}
