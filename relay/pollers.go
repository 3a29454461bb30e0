package relay

import (
	"sync"
	"time"

	"junctioncross/timer"
)

const (
	// pollerCountDelay is how long an instance must have been asked for news before it knows how many ask it: several of their questions.
	pollerCountDelay = 3 * time.Second
	// pollerTTL is how long one that asks no more still counts: too many are safe, since limits are divided by them.
	pollerTTL = 60 * time.Second
)

// tally counts the instances of a domain that ask its relay for news. Most instances of a large fleet have no record in the store.
type tally struct {
	clock *timer.Service

	mu        sync.Mutex
	startedAt time.Time
	// lastPoll holds when each instance lastPoll last, by name.
	lastPoll map[string]time.Time
	sweptAt  time.Time
}

func newTally(clock *timer.Service) *tally {
	return &tally{clock: clock, lastPoll: map[string]time.Time{}}
}

// add keeps that an instance has asked.
func (t *tally) add(name string) {
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

// size returns the number of instances that ask, and 0 while it is not known.
func (t *tally) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.startedAt.IsZero() || t.clock.Since(t.startedAt) < pollerCountDelay {
		return 0
	}
	return len(t.lastPoll)
}

// noteAsker counts the asker of a question if it stands in the domain of this instance.
func (s *Source) noteAsker(p poll) {
	if p.Domain == s.self.Domain && p.Name != "" {
		s.tally.add(p.Name)
	}
}

// counts returns the number of instances of each domain, as far as it is known.
func (s *Source) counts() map[string]int {
	if n := s.tally.size(); n > 0 && s.relay() {
		// The relay itself asks nobody.
		s.fleet.NoteCounts(map[string]int{s.self.Domain: n + 1})
	}
	return s.fleet.Counts()
}
