package relay

import (
	"sync"
	"time"

	"junctioncross/timer"
)

const (
	// pollerCountDelay is how long after the first poll that it receives a relay knows the number of its pollers: several poll
	// intervals.
	pollerCountDelay = 3 * time.Second
	// pollerTTL is how long an instance still counts after its last poll. Counting too many is safe, since shared limits are
	// divided by the count.
	pollerTTL = 60 * time.Second
)

// pollerCounter counts the instances of a domain that poll its relay, because most instances of a large fleet have no record in
// the store.
type pollerCounter struct {
	clock *timer.Service

	mu        sync.Mutex
	startedAt time.Time
	// lastPoll holds the time of each instance's last poll, by name.
	lastPoll map[string]time.Time
	sweptAt  time.Time
}

func newPollerCounter(clock *timer.Service) *pollerCounter {
	return &pollerCounter{clock: clock, lastPoll: map[string]time.Time{}}
}

// add notes a poll of an instance.
func (t *pollerCounter) add(name string) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	t.lastPoll[name] = now
	if now.Sub(t.sweptAt) < pollerCountDelay {
		return
	}
	t.sweptAt = now
	for name, at := range t.lastPoll {
		if now.Sub(at) > pollerTTL {
			delete(t.lastPoll, name)
		}
	}
}

// count returns the number of polling instances, and 0 while it is unknown.
func (t *pollerCounter) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.startedAt.IsZero() || t.clock.Since(t.startedAt) < pollerCountDelay {
		return 0
	}
	return len(t.lastPoll)
}

// notePoller counts the polling instance if it belongs to the domain of this instance.
func (s *Source) notePoller(p poll) {
	if p.Domain == s.self.Domain && p.Name != "" {
		s.pollers.add(p.Name)
	}
}

// counts returns the number of instances of each domain, as far as it is known.
func (s *Source) counts() map[string]int {
	if n := s.pollers.count(); n > 0 && s.isRelay() {
		// The relay itself polls nobody.
		s.fleet.NoteCounts(map[string]int{s.self.Domain: n + 1})
	}
	return s.fleet.Counts()
}
