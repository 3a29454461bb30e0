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
	// repairTimeout bounds one repair call.
	repairTimeout = 400 * time.Millisecond
	// maxRepairs bounds the repair calls for one stream.
	maxRepairs = 8
	// maxRepairTries bounds the repair calls in immediate succession, each without the servers that had no room.
	maxRepairTries = 3
	// weightSpread is how far the weights of servers are randomized up or down, so that instances that repair at the same
	// time choose different servers.
	weightSpread = 0.5
)

// repair gives a stream a new path behind its first server. The group is that of another stream of the service, which may be of another model.
func (w *watcher) repair(ctx context.Context, f *inflight, group *backend.Group, found *findings) {
	if !f.startRepair() {
		return
	}
	defer f.endRepair()
	group = w.groupFor(f, group)
	for range maxRepairTries {
		w.handler.stats.Retried(models.RetryTimeout)
		tryAgain := w.repairOnce(ctx, f, group, found)
		if !tryAgain || !f.countRepair() {
			return
		}
	}
}

// repairOnce requests one new path and reports whether another one is worth requesting.
func (w *watcher) repairOnce(ctx context.Context, f *inflight, group *backend.Group, found *findings) (tryAgain bool) {
	h := w.handler
	old := f.path()
	oldHops := groupHops(group, old)
	if len(oldHops) == 0 {
		return false
	}
	hops, ok := w.newHops(f, group, oldHops, old, found)
	if !ok {
		h.record.Failure(f.r.meta.ID, "no path for a repair", decision.Fields{
			"path": old.describe(), "still_ms": f.pause(h).Milliseconds(),
		})
		return false
	}
	err := w.reroute(ctx, f, old, old.resolveHops(group, hops), "repaired")
	return err != nil && w.noteRepairRefusal(group, old.servers[0], oldHops, hops, found, err)
}

// errPathChanged means that the stream has got another path meanwhile, or has none any more.
var errPathChanged = errors.New("forward: path has changed meanwhile")

// reroute asks the first server of a stream's path to continue along another path. The log text is text on success, and text
// after "not " on failure.
func (w *watcher) reroute(ctx context.Context, f *inflight, old, next resolvedPath, text string) error {
	h := w.handler
	if !f.replace(old, next) {
		return errPathChanged
	}
	fields := decision.Fields{"old_path": old.describe(), "path": next.describe()}
	repairCtx, cancel := context.WithTimeout(ctx, h.clock.Patience(repairTimeout))
	defer cancel()
	err := h.engines.Repair(repairCtx, next.servers[0].Addr(), f.r.meta.ID, next.stages())
	h.stats.Counter("repairs_total").Inc(1)
	fields["still_ms"] = f.pause(h).Milliseconds()
	if err == nil {
		h.record.Failure(f.r.meta.ID, text, fields)
		return nil
	}
	h.stats.Counter("repairs_failed_total").Inc(1)
	fields["error"] = err.Error()
	h.record.Failure(f.r.meta.ID, "not "+text, fields)
	f.replace(next, old)
	return err
}

// newHops returns a path with other servers in place of the lost ones and of those that leave, which refuse to be on a new
// path. It prefers servers that have the memory as far as known, then ignores the memory, and at last replaces all stages but
// the first.
func (w *watcher) newHops(f *inflight, group *backend.Group, oldHops []chain.Hop, old resolvedPath, found *findings) ([]chain.Hop, bool) {
	state := w.handler.chainState(group, w.handler.clock.Now())
	r := f.repairRequest(oldHops, func(i int) bool {
		return old.servers[i].Leaving() || found.lacks(old.servers[i], oldHops[i].Layers)
	})
	if hops, ok := chain.RepairPath(group.Graph(), state, r); ok {
		return hops, true
	}
	state.ignoreMemory = true
	if hops, ok := chain.RepairPath(group.Graph(), state, r); ok {
		return hops, true
	}
	path, ok := chain.Extend(group.Graph(), state, f.need, oldHops[0])
	return append([]chain.Hop{oldHops[0]}, path.Hops...), ok
}

// repairRequest returns the repair of a path in which some stages are to be replaced; the first one is always kept.
func (f *inflight) repairRequest(hops []chain.Hop, replace func(stage int) bool) chain.RepairRequest {
	lost := make(map[int]bool, len(hops))
	for i, hop := range hops {
		lost[hop.Server] = i > 0 && replace(i)
	}
	return chain.RepairRequest{
		Hops: hops, Tokens: f.need.Tokens, Lost: func(server int) bool { return lost[server] },
		Jitter: func() float64 { return 1 - weightSpread + 2*weightSpread*rand.Float64() },
	}
}

// noteRepairRefusal keeps new work away from the servers that refused a repair, and reports whether another path may succeed.
// A server that the refusal names counts as lost even if it was on the old path: it has dropped its layers, and neither its
// entry nor its report shows that yet.
func (w *watcher) noteRepairRefusal(group *backend.Group, first *backend.Server, oldHops, newHops []chain.Hop, found *findings, err error) bool {
	var refused *backend.RepairError
	if !errors.As(err, &refused) {
		return false
	}
	now := w.handler.clock.Now()
	if server := group.ByAddr(refused.Addr); server != nil {
		server.NoteMemoryFull(now)
		found.addDead(server)
		return server.Addr() != first.Addr()
	}
	// A refusal for lack of room names no server; it comes from one of the new ones.
	for _, h := range newHops {
		if !slices.Contains(oldHops, h) && h.Server >= 0 {
			group.Servers()[h.Server].NoteMemoryFull(now)
		}
	}
	return true
}

// startRepair reports whether a repair of the stream may start now; if so, endRepair must be called after it.
func (f *inflight) startRepair() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.hops) == 0 || f.repairs >= maxRepairs || f.repairing {
		return false
	}
	f.repairs++
	f.repairing = true
	return true
}

// countRepair counts a further repair call and reports whether it is allowed.
func (f *inflight) countRepair() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repairs++
	return f.repairs <= maxRepairs
}

// endRepair notes that a repair has ended.
func (f *inflight) endRepair() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repairing = false
}

// notInGroup is the index of a server that a group lacks, as slices.Index returns it.
const notInGroup = -1

// outsideIndex returns the number that stands for a stage whose server a group lacks, in place of the server's index;
// outsideStage returns the stage again.
func outsideIndex(stage int) int { return notInGroup - stage }

func outsideStage(index int) int { return notInGroup - index }

// groupHops returns a path with the indices of a group, which may be newer or older than the group that the path was chosen
// from: a server that leaves without notice keeps working although the group lacks it, and one that has just appeared may
// carry the stream already.
func groupHops(group *backend.Group, c resolvedPath) []chain.Hop {
	out := make([]chain.Hop, len(c.hops))
	for i, s := range c.servers {
		out[i] = chain.Hop{Server: slices.Index(group.Servers(), s), Layers: c.hops[i].Layers}
		if out[i].Server == notInGroup {
			out[i].Server = outsideIndex(i)
		}
	}
	return out
}

// resolveHops returns the path that hops of a group describe; stages whose servers the group lacks come from the present
// path.
func (c resolvedPath) resolveHops(group *backend.Group, hops []chain.Hop) resolvedPath {
	out := resolvedPath{hops: hops, servers: make([]*backend.Server, len(hops))}
	for i, hop := range hops {
		if hop.Server < 0 {
			out.servers[i] = c.servers[outsideStage(hop.Server)]
			continue
		}
		out.servers[i] = group.Servers()[hop.Server]
	}
	return out
}
