package forward

import (
	"slices"
	"time"

	"junctioncross/backend"
)

// healthyTime is how recently a server must have made progress with a stream to be taken as healthy. It is less than the time
// from the death of a server to the first diagnosis: the shortest stall minus the usual time between events.
const healthyTime = 45 * time.Millisecond

// suspects returns the servers that the streams use, without those that have just made progress with other streams, and the
// first server, which also says which servers its streams wait for.
func (w *watcher) suspects(first *backend.Server, streams []*inflight) map[*backend.Server]suspicion {
	lastProgress := w.lastProgress()
	out := map[*backend.Server]suspicion{}
	now := w.handler.clock.Since(w.start)
	for _, f := range streams {
		sentOrProgressed, overdue := time.Duration(f.lastAt.Load()), w.overdue(f)
		servers := f.path().servers
		if !slices.Contains(servers, first) {
			servers = append(slices.Clone(servers), first)
		}
		for _, s := range servers {
			if s != first && lastProgress[s] >= now-healthyTime {
				continue
			}
			why := out[s]
			why.stillSince = later(why.stillSince, w.start.Add(max(lastProgress[s], sentOrProgressed)))
			if overdue >= why.overdue {
				why.overdue, why.stallLimit = overdue, stallLimit(f)
			}
			out[s] = why
		}
	}
	return out
}

// lastProgress returns when streams last made progress through each server, as time since the start.
func (w *watcher) lastProgress() map[*backend.Server]time.Duration {
	out := map[*backend.Server]time.Duration{}
	for _, f := range w.active() {
		at := time.Duration(f.lastAt.Load())
		if !f.progressed.Load() {
			continue
		}
		for _, s := range f.path().servers {
			out[s] = max(out[s], at)
		}
	}
	return out
}

// dueForDiagnosis reports whether streams of a first server are to be diagnosed, a time after the last diagnosis.
func (w *watcher) dueForDiagnosis(after time.Duration, streams []*inflight, now time.Time) bool {
	if after < urgentPeriod || after >= diagnosePeriod {
		return after >= diagnosePeriod
	}
	return slices.ContainsFunc(streams, func(f *inflight) bool {
		return w.plan.urgent(f.path().servers, suspicion{overdue: w.overdue(f), stallLimit: stallLimit(f)}, now)
	})
}
