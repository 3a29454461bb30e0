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
func (c *pollerCounter) add(name string) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	c.lastPoll[name] = now
	if now.Sub(c.sweptAt) < pollerCountDelay {
		return
	}
	c.sweptAt = now
	for name, at := range c.lastPoll {
		if now.Sub(at) > pollerTTL {
			delete(c.lastPoll, name)
		}
	}
}

// count returns the number of polling instances, and 0 while it is unknown.
func (c *pollerCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.startedAt.IsZero() || c.clock.Since(c.startedAt) < pollerCountDelay {
		return 0
	}
	return len(c.lastPoll)
}

// notePoller counts the polling instance if it belongs to the domain of this instance.
func (s *Source) notePoller(p poll) {
	if p.Domain == s.self.Domain && p.Name != "" {
		s.pollers.add(p.Name)
	}
}

// instanceCounts returns the number of instances of each domain, as far as it is known.
func (s *Source) instanceCounts() map[string]int {
	if n := s.pollers.count(); n > 0 && s.isRelay() {
		// The relay itself polls nobody.
		s.fleet.NoteCounts(map[string]int{s.self.Domain: n + 1})
	}
	return s.fleet.Counts()
}
