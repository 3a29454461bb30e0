package relay

import (
	"sync"
	"time"

	"junctioncross/timer"
)

const (
	// pollerCountDelay is how long no further instance must have polled a relay for the first time until the relay knows the number
	// of its pollers: several poll intervals. After maxPollerCountDelay it takes the number that it has.
	pollerCountDelay    = 3 * time.Second
	maxPollerCountDelay = 15 * time.Second
	// pollerTTL is how long an instance still counts after its last poll. Counting too many is safe, since shared limits are
	// divided by the count.
	pollerTTL = 60 * time.Second
)

// pollerCounter counts the instances of a domain that poll its relay, because most instances of a large fleet have no record in
// the store.
type pollerCounter struct {
	clock *timer.Service

	mu sync.Mutex
	// startedAt is when the first poll arrived, and newestAt when an instance last polled for the first time.
	startedAt, newestAt time.Time
	// settled is true once the number of pollers has been known.
	settled bool
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
	if _, known := c.lastPoll[name]; !known {
		c.newestAt = now
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
	if c.startedAt.IsZero() {
		return 0
	}
	c.settled = c.settled || c.clock.Since(c.newestAt) >= pollerCountDelay || c.clock.Since(c.startedAt) >= maxPollerCountDelay
	if !c.settled {
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
