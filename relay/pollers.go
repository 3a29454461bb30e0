package relay

import (
	"sync"
	"time"

	"junctioncross/timer"
)

const (
	// tallyTime is how long an instance must have been asked for news before it knows how many ask it: several of their questions.
	tallyTime = 3 * time.Second
	// tallyKeep is how long one that asks no more still counts: too many are safe, since limits are divided by them.
	tallyKeep = 60 * time.Second
)

// tally counts the instances of a domain that ask its relay for news. Most instances of a large fleet have no record in the store.
type tally struct {
	clock *timer.Service

	mu    sync.Mutex
	begun time.Time
	// asked holds when each instance asked last, by name.
	asked map[string]time.Time
	swept time.Time
}

func newTally(clock *timer.Service) *tally {
	return &tally{clock: clock, asked: map[string]time.Time{}}
}

// note keeps that an instance has asked.
func (t *tally) note(name string) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.begun.IsZero() {
		t.begun = now
	}
	t.asked[name] = now
	if now.Sub(t.swept) < tallyTime {
		return
	}
	t.swept = now
	for name, at := range t.asked {
		if now.Sub(at) > tallyKeep {
			delete(t.asked, name)
		}
	}
}

// size returns the number of instances that ask, and 0 while it is not known.
func (t *tally) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.begun.IsZero() || t.clock.Since(t.begun) < tallyTime {
		return 0
	}
	return len(t.asked)
}

// noteAsker counts the asker of a question if it stands in the domain of this instance.
func (s *Source) noteAsker(p poll) {
	if p.Domain == s.self.Domain && p.Name != "" {
		s.tally.note(p.Name)
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
