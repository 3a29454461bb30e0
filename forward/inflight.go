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

// inflight is the state of one stream under way, over all its attempts.
type inflight struct {
	r *request
	// plain is true for a stream of a plain service, one server of which runs the whole request.
	plain bool
	// firstTriesFirst is true if first tries go before returning callers of the same rank.
	firstTriesFirst bool
	events          events

	// first is the first server of the present path, and conn the connection to it.
	first *backend.Server
	conn  *backend.Conn
	// lastAt is when the last event came, or the request was sent, in nanoseconds since the handler's start.
	lastAt atomic.Int64
	// waitsSince is since when the server of the present attempt has been waited for, in nanoseconds since the handler's start; it is 0 while
	// what came is passed on, and for streams of engines.
	waitsSince atomic.Int64
	// refusals counts the servers that have refused the stream since one last accepted it.
	refusals int
	// firstEventDue is how long after the sending the first event is due, in nanoseconds.
	firstEventDue atomic.Int64
	// firstEvent is how long after the request's arrival its first event came, and longestPause the longest time between two
	// events.
	firstEvent   time.Duration
	longestPause time.Duration
	// progressed is true once the server of the present attempt has sent an event.
	progressed atomic.Bool
	// begun is true once a part of the answer has been passed on.
	begun atomic.Bool
	// chosenAt is when the path of the present attempt was chosen, and rechosen how often a path was chosen again before it was sent;
	// only the goroutine of the request uses them.
	chosenAt time.Time
	rechosen int
	// answeredAt is when the server of the present attempt began to answer, zero before; only the goroutine of the request uses it.
	answeredAt time.Time
	// harmless is true once the present attempt has shown that the request does not terminate its server.
	harmless bool
	// ranSince is when the first event of the present attempt came; only the goroutine of the request uses it.
	ranSince time.Time

	// closedFor is why the instance has closed the connection of the present attempt; nil while it has not.
	closedFor atomic.Pointer[runEnd]

	// useless is what has come since the stream last made progress; the lock of the watcher guards it.
	useless uselessBytes

	// left is true once the stream has been handed over, so that a server was left that may have gone on with it.
	left atomic.Bool

	// failedMoves counts the searches, since the last successful one, that found no path without a server that leaves.
	failedMoves atomic.Int64

	// next is the path on which the stream is resumed once its present connection is closed; nil unless the stream is being
	// handed over.
	next atomic.Pointer[chosenPath]

	mu sync.Mutex
	// rejections is what earlier attempts say about servers.
	rejections rejections
	// earlierServers lists the servers that ran the stream before the present attempt. That attempt started at attemptStart
	// and is expected to last for expectedLifetime, or for predictedLifetime by the cost model alone; the latter is 0 for an
	// attempt that resumes a stream.
	earlierServers    []*backend.Server
	attemptStart      time.Time
	expectedLifetime  time.Duration
	predictedLifetime time.Duration
	// minLeft is the lower bound of the time that the stream is expected to last from now on.
	minLeft time.Duration
	// hops and servers are the present path, which a repair may change; they are nil while no attempt is under way.
	hops    []chain.Hop
	servers []*backend.Server
	// group is the group from which the path was chosen.
	group *backend.Group
	need  chain.Need
	// laneLoad is the share of the lane's memory that was thought to be taken when the path was chosen.
	laneLoad float64
	// returned is true for a returning caller: one that was refused before, or that resumes a stream which broke off.
	returned bool
	// certainlyReturned is true if the caller's remaining time leaves no doubt about that.
	certainlyReturned bool
	repairs           int
	// verified is true once the first server of the present attempt was asked whether it knows the stream.
	verified bool
	// unknownSince is when that server first said that it does not know the stream; zero before.
	unknownSince time.Time
	// repairing is true while a repair is under way.
	repairing bool
}

// parseResumeAfter returns the id of the last event that the caller has, or -1 when it has none.
func parseResumeAfter(id string) int64 {
	last, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return -1
	}
	return last
}

// assign reserves the path for the stream and releases the former one.
func (f *inflight) assign(group *backend.Group, hops []chain.Hop) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.group = group
	f.reserveLocked(resolvePath(group, hops))
}

// pathGroup returns the group from which the path of the present attempt was chosen.
func (f *inflight) pathGroup() *backend.Group {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.group
}

func (f *inflight) reserveLocked(c resolvedPath) {
	f.releaseLocked()
	f.hops, f.servers = c.hops, c.servers
	for i, s := range f.servers {
		s.Reserve(f.need.Tokens * f.hops[i].Layers.Count())
	}
}

// resolvedPath is a path together with the servers that its indices stand for.
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

// path returns the present path; it is empty while no attempt is under way.
func (f *inflight) path() resolvedPath {
	f.mu.Lock()
	defer f.mu.Unlock()
	return resolvedPath{hops: f.hops, servers: f.servers}
}

// uses reports whether the stream is under way on servers of a service.
func (f *inflight) uses(service string) bool {
	c := f.path()
	return len(c.servers) > 0 && c.servers[0].Service() == service
}

// replace reserves another path if the present one still has the servers of from, and reports whether it has.
func (f *inflight) replace(from, to resolvedPath) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.servers) == 0 || !slices.Equal(f.servers, from.servers) {
		return false
	}
	f.reserveLocked(to)
	return true
}

// beginVerify reports whether a server is to be asked if it knows the stream, and returns the present path: the server is the first
// of it, the stream waits for its first event, and this attempt has not asked yet. The caller must ask then.
func (f *inflight) beginVerify(first *backend.Server) (resolvedPath, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.progressed.Load() || f.verified || len(f.hops) == 0 || f.servers[0] != first {
		return resolvedPath{}, false
	}
	f.verified = true
	return resolvedPath{hops: f.hops, servers: f.servers}, true
}

// noteUnknown records that the first server says that it does not know the stream, and reports whether the server has had enough time
// since it first said so: one that was silent, or is slow, comes to a request later. It is to be asked again while the stream stays.
func (f *inflight) noteUnknown(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unknownSince.IsZero() {
		f.unknownSince = now
	}
	f.verified = false
	return now.Sub(f.unknownSince) >= firstEventSlack
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

// stages returns the path in the form in which it is sent.
func (c resolvedPath) stages() []call.Stage {
	out := make([]call.Stage, len(c.hops))
	for i, hop := range c.hops {
		out[i] = call.Stage{Addr: c.servers[i].Addr(), Layers: hop.Layers}
	}
	return out
}

// noteAccepted notes that every server of the path has accepted the request.
func (f *inflight) noteAccepted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejections.path = nil
	for _, s := range f.servers {
		s.NoteAccepted()
	}
}

// touch notes that the stream makes progress now.
func (f *inflight) touch(h *Handler) {
	now := h.clock.Since(h.watch.start)
	pause := now - time.Duration(f.lastAt.Swap(int64(now)))
	if overdue := pause - stallLimit(f); overdue > 0 && f.progressed.Load() && !f.plain {
		h.watch.plan.notePause(f.path().servers, overdue, h.clock.Now())
	}
}

// pause returns how long ago the stream last made progress.
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
