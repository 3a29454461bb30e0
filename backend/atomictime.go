package backend

import (
	"sync/atomic"
	"time"
)

// atomicTime is a time that several goroutines may read and set. It keeps the steady clock's reading, which a number of nanoseconds loses: the time
// of day may jump, and what is counted from it would be over too soon or too late by as much.
type atomicTime struct{ at atomic.Pointer[time.Time] }

// load returns the moment, or the zero time while there is none.
func (m *atomicTime) load() time.Time {
	if at := m.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// store sets the moment; the zero time means that there is none.
func (m *atomicTime) store(at time.Time) { m.at.Store(&at) }

// storeIfUnset sets the moment if there is none.
func (m *atomicTime) storeIfUnset(at time.Time) {
	for {
		was := m.at.Load()
		if was != nil && !was.IsZero() || m.at.CompareAndSwap(was, &at) {
			return
		}
	}
}

// storeIfLater sets the moment to a later one.
func (m *atomicTime) storeIfLater(at time.Time) {
	for {
		was := m.at.Load()
		if was != nil && !at.After(*was) || m.at.CompareAndSwap(was, &at) {
			return
		}
	}
}
