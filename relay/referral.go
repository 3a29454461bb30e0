package relay

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"junctioncross/follow"
)

const (
	// directPeerAge is how long an instance's word that it follows the store itself counts: it asks its relay again after a wait for a
	// configuration and a pause.
	directPeerAge = configWait + maxBackoff + 500*time.Millisecond
	// peersWithoutRelays is the number of others that an instance of a fleet without relays asks when the store does not answer it. A store that
	// turns a third of the instances away turns these away as well in one case of 27.
	peersWithoutRelays = 3
)

// directPeers remembers which instances follow the store themselves. It answers a store that turns the relays away and serves others: those
// that it turns away too would refuse the requests of all whose keys they cannot confirm, though an instance beside them could tell.
type directPeers struct {
	// lastNoted is when each lastNoted so last, by address.
	lastNoted map[string]time.Time
}

// note keeps that the instance at an address follows the store.
func (p *directPeers) note(addr string, now time.Time) {
	if p.lastNoted == nil {
		p.lastNoted = map[string]time.Time{}
	}
	p.lastNoted[addr] = now
}

// pick returns the address of one of them, or nothing; random is uniform in [0, 1), so that they share the questions.
func (p *directPeers) pick(now time.Time, random float64) string {
	var candidates []string
	for addr, at := range p.lastNoted {
		if now.Sub(at) > directPeerAge {
			delete(p.lastNoted, addr)
			continue
		}
		candidates = append(candidates, addr)
	}
	if len(candidates) == 0 {
		return ""
	}
	slices.Sort(candidates)
	return candidates[int(random*float64(len(candidates)))]
}

// followsStore reports whether this instance followsStore the store itself.
func (s *Source) followsStore() bool {
	for _, l := range s.logs {
		if !l.followed() {
			return false
		}
	}
	return s.fresh()
}

// directAddr returns the own address if the instance follows the store itself, and nothing otherwise.
func (s *Source) directAddr() string {
	if !s.followsStore() || s.stopped.Load() {
		return ""
	}
	return s.self.Addr
}

// noteDirectPeer keeps that the asker of a question follows the store itself, if it gave its address.
func (s *Source) noteDirectPeer(addr string, now time.Time) {
	if addr == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directPeers.note(addr, now)
}

// refer answers a question that this instance cannot answer itself: with the address of one that can, if it knows one.
func (s *Source) refer() (told, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr := s.directPeers.pick(s.clock.Now(), s.random()); addr != "" {
		return told{ReferTo: addr}, nil
	}
	return told{}, errNotDirect
}

// insertReferral adds the instance that a refusal names to the ways that are still to be asked, unless there is one already. An instance that
// follows the store itself goes on with that, or those that help each other would both lose it.
func (s *Source) insertReferral(upstreams []upstream, next int, feed follow.Feed, err error) []upstream {
	var r refusal
	if !errors.As(err, &r) || r.referTo == "" || s.logs[feed].followed() || !s.acceptReferral(feed, r.referTo) {
		return upstreams
	}
	return slices.Insert(upstreams, next, upstream{addr: r.referTo})
}

// acceptReferral reports whether a referral is followed, and keeps it: one at a time for each feed.
func (s *Source) acceptReferral(feed follow.Feed, addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr == s.self.Addr || s.referral[feed] != (upstream{}) || s.clock.Now().Before(s.backoffs[addr].until) {
		return false
	}
	s.referral[feed] = upstream{addr: addr}
	return true
}

// withReferral returns the ways with the instance that helps with a feed, after the first of them; a relay takes one of those that it
// refers others to. The caller holds the lock.
func (s *Source) withReferral(upstreams []upstream, feed follow.Feed) []upstream {
	if s.logs[feed].followed() {
		return upstreams
	}
	if s.referral[feed] == (upstream{}) {
		if addr := s.directPeers.pick(s.clock.Now(), s.random()); addr != "" {
			s.referral[feed] = upstream{addr: addr}
		}
	}
	if u := s.referral[feed]; u != (upstream{}) && !slices.Contains(upstreams, u) {
		return slices.Insert(slices.Clone(upstreams), 1, u)
	}
	return upstreams
}
