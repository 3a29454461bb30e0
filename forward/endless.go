package forward

import (
	"junctioncross/backend"
	"junctioncross/decision"
)

const (
	// eventTime is how long a head or an event may take from its first byte to its last one: a sound server may fall silent in between.
	eventTime = backend.MaxSoundSilence
	// manyArrivals is how often bytes must have come that complete nothing: what a server sends when its silence ends comes in a few segments.
	manyArrivals = 8
)

// uselessBytes is what has come on the connection of a stream since that last made progress.
type uselessBytes struct {
	// since is when the stream made progress, in nanoseconds since the handler's start.
	since int64
	// received is the number of bytes that had come on the connection, and arrivals how often it was found to have grown.
	received int64
	arrivals int
}

// cutEndless closes the connection of a stalled stream whose server keeps sending bytes that complete no event, so that the stream is
// resumed elsewhere. The caller holds the lock.
func (w *watcher) cutEndless(f *inflight) {
	if f.conn == nil {
		return
	}
	h, u, received := w.handler, &f.useless, f.conn.Received()
	if at := f.lastAt.Load(); at != u.since {
		*u = uselessBytes{since: at, received: received}
		return
	}
	if received > u.received {
		u.received = received
		u.arrivals++
	}
	if u.arrivals < manyArrivals || f.pause(h) <= h.clock.Patience(eventTime) {
		return
	}
	*u = uselessBytes{}
	h.stats.Counter("streams_cut_from_endless_bytes_total").Inc(1)
	h.record.Failure(f.r.meta.ID, "bytes complete no event", decision.Fields{
		"server": f.first.ID(), "address": f.first.Addr(), "still_ms": f.pause(h).Milliseconds(), "bytes": received,
	})
	w.closeRun(f, endEndless)
}
