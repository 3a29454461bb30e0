package backend

import (
	"sync/atomic"
	"time"
)

// moment is a time that several goroutines may read and set. It keeps the steady clock's reading, which a number of nanoseconds loses: the time
// of day may jump, and what is counted from it would be over too soon or too late by as much.
type moment struct{ at atomic.Pointer[time.Time] }

// load returns the moment, or the zero time while there is none.
func (m *moment) load() time.Time {
	if at := m.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// store sets the moment; the zero time means that there is none.
func (m *moment) store(at time.Time) { m.at.Store(&at) }

// start sets the moment if there is none.
func (m *moment) start(at time.Time) {
	for {
		was := m.at.Load()
		if was != nil && !was.IsZero() || m.at.CompareAndSwap(was, &at) {
			return
		}
	}
}

// extend sets the moment to a later one.
func (m *moment) extend(at time.Time) {
	for {
		was := m.at.Load()
		if was != nil && !at.After(*was) || m.at.CompareAndSwap(was, &at) {
			return
		}
	}
}
