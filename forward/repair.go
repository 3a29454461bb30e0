package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/chain"
	"junctioncross/decision"
	"junctioncross/models"
)

const (
	// repairTime bounds one call for a repair.
	repairTime = 400 * time.Millisecond
	// mostRepairs bounds the calls for repairs of one stream.
	mostRepairs = 8
	// repairTries bounds the calls that follow each other at once, each without the servers that had no room.
	repairTries = 3
	// repairSpread is how far the weights of servers are spread, so that instances that repair together choose differently.
	repairSpread = 0.5
)

// repair gives a stream a new path behind its first part.
func (w *watcher) repair(ctx context.Context, f *inflight, group *backend.Group, found *findings) {
	if !f.startRepair() {
		return
	}
	defer f.repaired()
	for range repairTries {
		w.handler.stats.Retried(models.RetryTimeout)
		again := w.repairOnce(ctx, f, group, found)
		if !again || !f.countRepair() {
			return
		}
	}
}

// repairOnce asks for one new path and reports whether another one is worth asking for.
func (w *watcher) repairOnce(ctx context.Context, f *inflight, group *backend.Group, found *findings) (again bool) {
	h := w.handler
	was := f.course()
	old := indexed(group, was)
	if len(old) == 0 {
		return false
	}
	hops, ok := w.newHops(f, group, old, was, found)
	if !ok {
		h.record.Failure(f.r.meta.ID, "no path for a repair", decision.Fields{
			"path": was.describe(), "still_ms": f.pause(h).Milliseconds(),
		})
		return false
	}
	err := w.reroute(ctx, f, was, was.onward(group, hops), "repaired")
	return err != nil && w.blame(group, was.servers[0], old, hops, found, err)
}

// errPathChanged means that a stream has another path meanwhile, or none.
var errPathChanged = errors.New("forward: path has changed meanwhile")

// reroute asks the first part of a stream's path to go on along another one; done is what the log says then.
func (w *watcher) reroute(ctx context.Context, f *inflight, was, now course, done string) error {
	h := w.handler
	if !f.replace(was, now) {
		return errPathChanged
	}
	fields := decision.Fields{"old_path": was.describe(), "path": now.describe()}
	ask, cancel := context.WithTimeout(ctx, repairTime)
	defer cancel()
	err := h.caller.Repair(ask, now.servers[0].Addr(), f.r.meta.ID, now.parts())
	h.stats.Counter("repairs_total").Inc(1)
	fields["still_ms"] = f.pause(h).Milliseconds()
	if err == nil {
		h.record.Failure(f.r.meta.ID, done, fields)
		return nil
	}
	h.stats.Counter("repairs_failed_total").Inc(1)
	fields["error"] = err.Error()
	h.record.Failure(f.r.meta.ID, "not "+done, fields)
	f.replace(now, was)
	return err
}

// newHops returns a path with other servers in place of the lost ones and of those that leave, which refuse to be on a new path: with
// memory as far as known, or else regardless of it, or else with all parts but the first replaced.
func (w *watcher) newHops(f *inflight, group *backend.Group, old []chain.Hop, was course, found *findings) ([]chain.Hop, bool) {
	state := w.handler.chainState(group, w.handler.clock.Now())
	r := f.without(old, func(i int) bool {
		return was.servers[i].Leaving() || found.lacks(was.servers[i], old[i].Layers)
	})
	if hops, ok := chain.Mend(group.Graph(), state, r); ok {
		return hops, true
	}
	state.regardless = true
	if hops, ok := chain.Mend(group.Graph(), state, r); ok {
		return hops, true
	}
	path, ok := chain.Extend(group.Graph(), state, f.need, old[0])
	return append([]chain.Hop{old[0]}, path.Hops...), ok
}

// without returns what a stream asks for in place of the parts of its path that are to be replaced; a repair keeps the first.
func (f *inflight) without(hops []chain.Hop, replace func(part int) bool) chain.Repair {
	lost := make(map[int]bool, len(hops))
	for i, hop := range hops {
		lost[hop.Server] = i > 0 && replace(i)
	}
	return chain.Repair{
		Hops: hops, Tokens: f.need.Tokens, Lost: func(server int) bool { return lost[server] },
		Spread: func() float64 { return 1 - repairSpread + 2*repairSpread*rand.Float64() },
	}
}

// blame keeps new work away from the servers that a repair failed for, and reports whether another path may do. A server that
// the refusal names counts as lost, also when the path had it before: it has given its layers up, and neither its entry nor its
// report tells yet.
func (w *watcher) blame(group *backend.Group, first *backend.Server, old, hops []chain.Hop, found *findings, err error) bool {
	var refused *backend.RepairError
	if !errors.As(err, &refused) {
		return false
	}
	now := w.handler.clock.Now()
	if server := group.ByAddr(refused.Addr); server != nil {
		server.NoRoom(now)
		found.add(server)
		return server.Addr() != first.Addr()
	}
	// The answer names no server when one has no room; it is one of the new ones.
	for _, h := range hops {
		if !slices.Contains(old, h) && h.Server >= 0 {
			group.Servers()[h.Server].NoRoom(now)
		}
	}
	return true
}

// startRepair reports whether the stream may be repaired now; repaired must be called after it.
func (f *inflight) startRepair() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.hops) == 0 || f.repairs >= mostRepairs || f.repairing {
		return false
	}
	f.repairs++
	f.repairing = true
	return true
}

// countRepair counts a further call and reports whether it is allowed.
func (f *inflight) countRepair() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repairs++
	return f.repairs <= mostRepairs
}

// repaired says that a repair has ended.
func (f *inflight) repaired() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repairing = false
}

// noEntry is the index of a server that a group lacks.
const noEntry = -1

// outside stands for a part of a path whose server a group lacks, in place of an index; partOutside returns the part again.
func outside(part int) int { return noEntry - part }

func partOutside(index int) int { return noEntry - index }

// indexed returns a path by the indices of a group, which may be newer or older than the one that the path was chosen from: a server
// that leaves without a word serves on although the group lacks it, and one that has just appeared may carry the stream already.
func indexed(group *backend.Group, c course) []chain.Hop {
	out := make([]chain.Hop, len(c.hops))
	for i, s := range c.servers {
		out[i] = chain.Hop{Server: slices.Index(group.Servers(), s), Layers: c.hops[i].Layers}
		if out[i].Server == noEntry {
			out[i].Server = outside(i)
		}
	}
	return out
}

// onward returns the path that hops of a group describe; those that the group lacks are parts of the present path.
func (c course) onward(group *backend.Group, hops []chain.Hop) course {
	out := course{hops: hops, servers: make([]*backend.Server, len(hops))}
	for i, hop := range hops {
		if hop.Server < 0 {
			out.servers[i] = c.servers[partOutside(hop.Server)]
			continue
		}
		out.servers[i] = group.Servers()[hop.Server]
	}
	return out
}
