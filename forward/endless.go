package forward

import "junctioncross/backend"

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

// getsEndlessBytes reports whether a stalled stream's server keeps sending bytes that complete no event. The caller holds the lock.
func (w *watcher) getsEndlessBytes(f *inflight) bool {
	if f.conn == nil {
		return false
	}
	h, u, received := w.handler, &f.useless, f.conn.Received()
	if at := f.lastAt.Load(); at != u.since {
		*u = uselessBytes{since: at, received: received}
		return false
	}
	if received > u.received {
		u.received = received
		u.arrivals++
	}
	return u.arrivals >= manyArrivals && f.pause(h) > h.clock.Patience(eventTime)
}
