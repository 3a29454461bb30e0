package forward

import (
	"slices"
	"time"
)

const (
	// silentShare is the part of its caller's patience after which a stream that stands still alone is taken to have a connection that has
	// fallen silent: the rest is what it takes to go on elsewhere.
	silentShare = 0.5
	// lately is how long ago another stream on the same path must have moved; several times the usual time between events.
	lately = 4 * soundTime
)

// silent reports whether a stream's connection is taken to have fallen silent, which no reset tells: nothing has come on it for long,
// while its servers are well and move others along the same path. Where none moves, the servers are slow, and leaving them would add
// to what they have to read.
func (w *watcher) silent(f *inflight) bool {
	if f.pause(w.handler) <= time.Duration(silentShare*float64(patienceOf(f.r.route))) {
		return false
	}
	path := f.course().servers
	return slices.ContainsFunc(w.flying(), func(other *inflight) bool {
		return other != f && other.moved.Load() && other.pause(w.handler) < lately && slices.Equal(other.course().servers, path)
	})
}
