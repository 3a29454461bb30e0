package relay

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"junctioncross/follow"
)

const (
	// helperAge is how long an instance's word that it follows the store itself counts: it asks its relay again after a wait for a
	// configuration and a pause.
	helperAge = configWait + longestLeft + 500*time.Millisecond
	// othersOfFew is the number of others that an instance of a fleet without relays asks when the store does not answer it. A store that
	// turns a third of the instances away turns these away as well in one case of 27.
	othersOfFew = 3
)

// helpers remembers which instances follow the store themselves. It answers a store that turns the relays away and serves others: those
// that it turns away too would refuse the requests of all whose keys they cannot confirm, though an instance beside them could tell.
type helpers struct {
	// said is when each said so last, by address.
	said map[string]time.Time
}

// note keeps that the instance at an address follows the store.
func (h *helpers) note(addr string, now time.Time) {
	if h.said == nil {
		h.said = map[string]time.Time{}
	}
	h.said[addr] = now
}

// pick returns the address of one of them, or nothing; random is uniform in [0, 1), so that they share the questions.
func (h *helpers) pick(now time.Time, random float64) string {
	var fit []string
	for addr, at := range h.said {
		if now.Sub(at) > helperAge {
			delete(h.said, addr)
			continue
		}
		fit = append(fit, addr)
	}
	if len(fit) == 0 {
		return ""
	}
	slices.Sort(fit)
	return fit[int(random*float64(len(fit)))]
}

// follows reports whether this instance follows the store itself.
func (s *Source) follows() bool {
	for _, l := range s.logs {
		if !l.followed() {
			return false
		}
	}
	return s.fresh()
}

// standing returns the own address if the instance follows the store itself, and nothing otherwise.
func (s *Source) standing() string {
	if !s.follows() || s.stopped.Load() {
		return ""
	}
	return s.self.Addr
}

// noteHelper keeps that the asker of a question follows the store itself, if it gave its address.
func (s *Source) noteHelper(addr string, now time.Time) {
	if addr == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.helpers.note(addr, now)
}

// refer answers a question that this instance cannot answer itself: with the address of one that can, if it knows one.
func (s *Source) refer() (told, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr := s.helpers.pick(s.clock.Now(), s.random()); addr != "" {
		return told{Ask: addr}, nil
	}
	return told{}, errNotDirect
}

// referred adds the instance that a refusal names to the ways that are still to be asked, unless there is one already. An instance that
// follows the store itself goes on with that, or those that help each other would both lose it.
func (s *Source) referred(ways []way, next int, feed follow.Feed, err error) []way {
	var r refusal
	if !errors.As(err, &r) || r.ask == "" || s.logs[feed].followed() || !s.mayRefer(feed, r.ask) {
		return ways
	}
	return slices.Insert(ways, next, way{addr: r.ask})
}

// mayRefer reports whether a referral is followed, and keeps it: one at a time for each feed.
func (s *Source) mayRefer(feed follow.Feed, addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr == s.self.Addr || s.helper[feed] != (way{}) || s.clock.Now().Before(s.left[addr].until) {
		return false
	}
	s.helper[feed] = way{addr: addr}
	return true
}

// withHelper returns the ways with the instance that helps with a feed, after the first of them; a relay takes one of those that it
// refers others to. The caller holds the lock.
func (s *Source) withHelper(ways []way, feed follow.Feed) []way {
	if s.logs[feed].followed() {
		return ways
	}
	if s.helper[feed] == (way{}) {
		if addr := s.helpers.pick(s.clock.Now(), s.random()); addr != "" {
			s.helper[feed] = way{addr: addr}
		}
	}
	if w := s.helper[feed]; w != (way{}) && !slices.Contains(ways, w) {
		return slices.Insert(slices.Clone(ways), 1, w)
	}
	return ways
}
