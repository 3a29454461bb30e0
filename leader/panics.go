package leader

import (
	"time"

	"junctioncross/supervise"
)

const (
	// partName is the name of this part in lines on panics.
	partName = "orders"
	// maxPanics is the number of panics in a row over the orders to one service after which the lock is given to another instance, which may
	// be of another build.
	maxPanics = 5
	// handOnPeriod is the least time between two such hand-overs by one instance. A fault that each instance has passes the fleet once and
	// then stays with the one that holds the lock, which goes on giving orders to the other services.
	handOnPeriod = 10 * time.Minute
	// handOnWait is how long the instance then leaves the lock to others.
	handOnWait = 2 * time.Second
)

// notePanic drops what the term knows of a service after a panic, since it may be half changed, and pauses the orders to it.
func (t *term) notePanic(name string) {
	if t.panics[name] == nil {
		t.panics[name] = &supervise.Pause{}
	}
	t.panics[name].Begin(t.leader.clock.Now())
	delete(t.services, name)
}

// paused reports whether orders to a service are paused after a panic.
func (t *term) paused(name string) bool {
	pause := t.panics[name]
	return pause != nil && !pause.Over(t.leader.clock.Now())
}

// panicsOften reports whether the orders to a service, paused now, have panicked so often in a row that another instance should try.
func (t *term) panicsOften() bool {
	for name, pause := range t.panics {
		if pause.InRow() >= maxPanics && t.paused(name) {
			return true
		}
	}
	return false
}

// shouldHandOn reports whether the lock is to be given to another instance because of panics.
func (l *Leader) shouldHandOn() bool {
	return l.term.panicsOften() && (l.handedOn.IsZero() || l.clock.Since(l.handedOn) >= handOnPeriod)
}
