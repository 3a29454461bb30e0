package forward

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/chain"
)

// inflight is one stream on its way through a path.
type inflight struct {
	r      *request
	events events

	first *backend.Server
	conn  *backend.Conn
	// lastAt is when the last event came, or the request was sent, in nanoseconds since the handler's start.
	lastAt atomic.Int64
	// refusals counts the servers that have refusals the stream away since one last took it.
	refusals int
	// expected is how long after the sending the first event is due, in nanoseconds.
	expected atomic.Int64
	// firstEvent is how long after the request's arrival its first event came, and longestPause the longest time between two.
	firstEvent   time.Duration
	longestPause time.Duration
	// moved is true once the server of the present attempt has sent an event.
	moved atomic.Bool
	// ranSince is when that event came; only the goroutine of the request uses it.
	ranSince time.Time

	// failedMoves counts the looks for another path before its server ends that found none.
	failedMoves atomic.Int64

	// next is the path on which the stream goes on once its present connection is closed; nil while it is not handed over.
	next atomic.Pointer[placed]

	mu sync.Mutex
	// earlierServers lists the servers that ran the stream before the present attempt, which began at a time, was expected to last for life,
	// and by the cost model alone as long as predicted; 0 for an attempt that goes on with a stream.
	earlierServers    []*backend.Server
	attemptStart      time.Time
	life              time.Duration
	predictedLifetime time.Duration
	// minLeft is how much longer the stream is taken to last at minLeft.
	minLeft time.Duration
	// hops and servers are the path, which a repair may change; they are nil when no attempt is under way.
	hops    []chain.Hop
	servers []*backend.Server
	need    chain.Need
	// laneLoad is the part of the lane's memory that was thought to be taken when the path was chosen.
	laneLoad float64
	// returned is true when the caller has been refused before, or goes on with a stream that broke off.
	returned bool
	repairs  int
	// verified is true once the first part of the present attempt was asked whether it knows the stream.
	verified bool
	// repairing is true while a repair is under way.
	repairing bool
}

// parseResumeAfter returns the id of the last event that the caller has, -1 when it has none.
func parseResumeAfter(id string) int64 {
	last, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return -1
	}
	return last
}

// assign reserves the path for the stream and gives back what it had before.
func (f *inflight) assign(group *backend.Group, hops []chain.Hop) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reserveLocked(resolvePath(group, hops))
}

func (f *inflight) reserveLocked(c resolvedPath) {
	f.releaseLocked()
	f.hops, f.servers = c.hops, c.servers
	for i, s := range f.servers {
		s.Reserve(f.need.Tokens * f.hops[i].Layers.Count())
	}
}

// resolvedPath is a path with the servers that its indices stand for.
type resolvedPath struct {
	hops    []chain.Hop
	servers []*backend.Server
}

func resolvePath(group *backend.Group, hops []chain.Hop) resolvedPath {
	c := resolvedPath{hops: hops, servers: make([]*backend.Server, len(hops))}
	for i, hop := range hops {
		c.servers[i] = group.Servers()[hop.Server]
	}
	return c
}

// course returns the present path; it is empty when no attempt is under way.
func (f *inflight) course() resolvedPath {
	f.mu.Lock()
	defer f.mu.Unlock()
	return resolvedPath{hops: f.hops, servers: f.servers}
}

// uses reports whether the stream is under way at a service.
func (f *inflight) uses(service string) bool {
	c := f.course()
	return len(c.servers) > 0 && c.servers[0].Service() == service
}

// replace reserves another path if the present one is still what it was, and reports whether it is.
func (f *inflight) replace(from, to resolvedPath) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.servers) == 0 || !slices.Equal(f.servers, from.servers) {
		return false
	}
	f.reserveLocked(to)
	return true
}

// beginVerify reports whether the stream waits for its first event and its first part has not been asked about it yet.
func (f *inflight) beginVerify() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.moved.Load() || f.verified || len(f.hops) == 0 {
		return false
	}
	f.verified = true
	return true
}

func (f *inflight) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releaseLocked()
}

func (f *inflight) releaseLocked() {
	for i, s := range f.servers {
		s.Release(f.need.Tokens * f.hops[i].Layers.Count())
	}
	f.hops, f.servers = nil, nil
}

// stages returns the path as it is sent.
func (c resolvedPath) stages() []call.Part {
	out := make([]call.Part, len(c.hops))
	for i, hop := range c.hops {
		out[i] = call.Part{Addr: c.servers[i].Addr(), Layers: hop.Layers}
	}
	return out
}

// noteAccepted notes that every part of the path has taken the request.
func (f *inflight) noteAccepted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.TookWork()
	}
}

// touch notes that the stream moved.
func (f *inflight) touch(h *Handler) { f.lastAt.Store(int64(h.clock.Since(h.watch.start))) }

// pause returns for how long the stream has not moved.
func (f *inflight) pause(h *Handler) time.Duration {
	return h.clock.Since(h.watch.start) - time.Duration(f.lastAt.Load())
}

// describe returns the path for a log line.
func (c resolvedPath) describe() string {
	var b strings.Builder
	for i, hop := range c.hops {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(c.servers[i].ID())
		b.WriteString(hop.Layers.String())
	}
	return b.String()
}
