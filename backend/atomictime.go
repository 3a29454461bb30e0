package backend

import (
	"sync/atomic"
	"time"
)

// atomicTime is a time that is safe for concurrent use. It keeps the reading of the monotonic clock, which a number of
// nanoseconds would lose: the wall clock may jump, and periods measured by it would end too early or too late by as much.
type atomicTime struct{ at atomic.Pointer[time.Time] }

// load returns the time, or the zero time if none is set.
func (t *atomicTime) load() time.Time {
	if at := t.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// store sets the time; the zero time means that none is set.
func (t *atomicTime) store(at time.Time) { t.at.Store(&at) }

// storeIfUnset sets the time if none is set.
func (t *atomicTime) storeIfUnset(at time.Time) {
	for {
		was := t.at.Load()
		if was != nil && !was.IsZero() || t.at.CompareAndSwap(was, &at) {
			return
		}
	}
}

// storeIfLater sets the time if it is later than the present one.
func (t *atomicTime) storeIfLater(at time.Time) {
	for {
		was := t.at.Load()
		if was != nil && !at.After(*was) || t.at.CompareAndSwap(was, &at) {
			return
		}
	}
}
