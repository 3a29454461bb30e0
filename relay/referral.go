package relay

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"junctioncross/follow"
)

const (
	// directPeerAge is how long an instance's statement that it follows the store itself is valid. Such an instance repeats it
	// at its next poll, after a wait for the configuration and a back-off.
	directPeerAge = configWait + maxBackoff + 500*time.Millisecond
	// peersWithoutRelays is the number of other instances that an instance of a fleet without relays asks when the store does
	// not answer it. If the store rejects a third of the instances, it rejects all three of them as well in one case of 27.
	peersWithoutRelays = 3
)

// directPeers remembers which instances follow the store themselves. They are needed when the store rejects the relays but
// serves other instances: an instance that the store rejects too would refuse all requests whose keys it cannot confirm,
// although another instance of its domain could confirm them.
type directPeers struct {
	// lastNoted is when each instance last said that it follows the store, by address.
	lastNoted map[string]time.Time
}

// note records that the instance at an address follows the store.
func (p *directPeers) note(addr string, now time.Time) {
	if p.lastNoted == nil {
		p.lastNoted = map[string]time.Time{}
	}
	p.lastNoted[addr] = now
}

// pick returns the address of a direct peer, or "" if none is known. The argument random is uniform in [0, 1), which spreads
// the load over the peers.
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

// followsStore reports whether this instance follows all feeds in the store itself and the configuration was confirmed
// lately.
func (s *Source) followsStore() bool {
	for _, l := range s.logs {
		if !l.isDirect() {
			return false
		}
	}
	return s.fresh()
}

// directAddr returns the own address if the instance follows the store itself, and "" otherwise.
func (s *Source) directAddr() string {
	if !s.followsStore() || s.stopped.Load() {
		return ""
	}
	return s.self.Addr
}

// noteDirectPeer records that the polling instance follows the store itself, if it gave its address.
func (s *Source) noteDirectPeer(addr string, now time.Time) {
	if addr == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directPeers.note(addr, now)
}

// refer answers a poll that this instance cannot serve itself: it names a direct peer if it knows one, and fails otherwise.
func (s *Source) refer() (pollReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr := s.directPeers.pick(s.clock.Now(), s.random()); addr != "" {
		return pollReply{ReferTo: addr}, nil
	}
	return pollReply{}, errNotDirect
}

// insertReferral adds the instance that a refusal names to the upstreams that are still to be asked, unless one was added
// before. An instance that follows the store itself does not follow referrals: two instances that refer to each other would
// both stop following the store.
func (s *Source) insertReferral(upstreams []upstream, next int, feed follow.Feed, err error) []upstream {
	var r refusal
	if !errors.As(err, &r) || r.referTo == "" || s.logs[feed].isDirect() || !s.acceptReferral(feed, r.referTo) {
		return upstreams
	}
	return slices.Insert(upstreams, next, upstream{addr: r.referTo})
}

// acceptReferral reports whether a referral is followed, and records it. Each feed has at most one referral at a time.
func (s *Source) acceptReferral(feed follow.Feed, addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr == s.self.Addr || s.referral[feed] != (upstream{}) || s.clock.Now().Before(s.backoffs[addr].until) {
		return false
	}
	s.referral[feed] = upstream{addr: addr}
	return true
}

// withReferral inserts the referral of a feed after the first upstream. Without a referral it uses one of the direct peers
// that the instance knows, as a relay does that refers others to them. The caller holds the lock.
func (s *Source) withReferral(upstreams []upstream, feed follow.Feed) []upstream {
	if s.logs[feed].isDirect() {
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
