package forward

import (
	"slices"
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
)

// rejectionTime is how long a server that rejected a stream is not to get it again: reports on its memory are about that old.
const rejectionTime = 250 * time.Millisecond

// rejections is what is known from the earlier attempts of a stream that servers rejected.
type rejections struct {
	// until holds the servers that rejected the stream, and until when they are not to get it again.
	until map[*backend.Server]time.Time
	// path holds the servers of the last path that was rejected, and crossings how often it crossed domains. It is nil once a path
	// was accepted.
	path      []*backend.Server
	crossings int
}

// noteRejection records that a server of the stream's present path rejected it.
func (f *inflight) noteRejection(server *backend.Server, now time.Time) {
	c := f.path()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rejections.until == nil {
		f.rejections.until = map[*backend.Server]time.Time{}
	}
	f.rejections.until[server] = now.Add(rejectionTime)
	f.rejections.path, f.rejections.crossings = c.servers, c.crossings()
}

// avoidance is what the rejections of a stream mean for the lanes of a group; its zero value avoids nothing.
type avoidance struct {
	// For each server of the group, rejected says whether it has rejected the stream, barred whether it is not to get the stream
	// yet, and shared whether it was on the last path that was rejected.
	rejected, barred, shared []bool
	// crossings is how often that path crossed domains.
	crossings int
}

// avoid returns what the rejections of the stream mean for a group at a given time.
func (f *inflight) avoid(group *backend.Group, now time.Time) avoidance {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.rejections.until) == 0 {
		return avoidance{}
	}
	servers := group.Servers()
	a := avoidance{
		rejected: make([]bool, len(servers)), barred: make([]bool, len(servers)), shared: make([]bool, len(servers)),
		crossings: f.rejections.crossings,
	}
	for i, s := range servers {
		until, rejected := f.rejections.until[s]
		a.rejected[i], a.barred[i] = rejected, rejected && now.Before(until)
		a.shared[i] = slices.Contains(f.rejections.path, s)
	}
	return a
}

// bars reports whether a server rejected the stream so lately that it is not to get it yet.
func (a *avoidance) bars(server int) bool { return len(a.barred) > 0 && a.barred[server] }

// narrow sets the weights of the lanes to 0 that the stream is not to take. Lanes through a barred server are never taken. Of the
// others, those are preferred that share no server with the rejected path, cross domains no more often than it and are fast enough;
// then those without a server that rejected the stream earlier.
func (a *avoidance) narrow(lanes []chain.Lane, weights []float64, tooSlow func(lane int) bool) {
	if len(a.barred) == 0 {
		return
	}
	keepOnly(weights, func(i int) bool { return !passes(&lanes[i], a.barred) })
	apart := func(i int) bool {
		l := &lanes[i]
		return !passes(l, a.rejected) && !passes(l, a.shared) && l.Crossings <= a.crossings && !tooSlow(i)
	}
	notRejected := func(i int) bool { return !passes(&lanes[i], a.rejected) }
	for _, preferred := range []func(int) bool{apart, notRejected} {
		if anyWith(weights, preferred) {
			keepOnly(weights, preferred)
			return
		}
	}
}

// passes reports whether a lane passes one of the marked servers.
func passes(l *chain.Lane, marked []bool) bool {
	return slices.ContainsFunc(l.Hops, func(hop chain.Hop) bool { return marked[hop.Server] })
}

// anyWith reports whether one of the weights that match is not 0.
func anyWith(weights []float64, match func(int) bool) bool {
	for i, w := range weights {
		if w > 0 && match(i) {
			return true
		}
	}
	return false
}

// keepOnly sets the weights that do not match to 0.
func keepOnly(weights []float64, match func(int) bool) {
	for i := range weights {
		if !match(i) {
			weights[i] = 0
		}
	}
}

// countPath counts the path of an attempt that follows a rejection, by whether it shares no server with the rejected one.
func (h *Handler) countPath(f *inflight) {
	f.mu.Lock()
	rejected, present := f.rejections.path, f.servers
	f.mu.Unlock()
	if rejected == nil {
		return
	}
	if slices.ContainsFunc(present, func(s *backend.Server) bool { return slices.Contains(rejected, s) }) {
		h.stats.Counter("repeats_on_shared_path_total").Inc(1)
		return
	}
	h.stats.Counter("repeats_on_other_path_total").Inc(1)
}
