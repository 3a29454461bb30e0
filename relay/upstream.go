package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"junctioncross/follow"
	"junctioncross/membership"
	"junctioncross/retry"
)

const (
	// firstBackoff is how long a relay is not asked after a failure. The time doubles with each failure up to maxBackoff,
	// which is short so that the relay's return is noticed soon.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
)

// backoff says until when an upstream is not asked, and after how many failures in a row.
type backoff struct {
	until    time.Time
	failures int
	// refused is true when the last poll was refused by a relay that is reachable.
	refused bool
}

// upstreamCache holds the upstreams that follow from one list of members. Each poll needs them several times; without the
// cache, 295 instances that poll through an outage spend half of their time on ranking the same members again.
type upstreamCache struct {
	mu      sync.Mutex
	members []membership.Instance
	relays  bool
	list    []upstream
}

// get returns the upstreams that compute derives from these members. The list of members must not be changed after the call,
// since it is recognized by its first element.
func (c *upstreamCache) get(members []membership.Instance, relays bool, compute func([]membership.Instance, bool) []upstream) []upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(members) == 0 || len(members) != len(c.members) || &members[0] != &c.members[0] || relays != c.relays {
		c.members, c.relays, c.list = members, relays, compute(members, relays)
	}
	return c.list
}

// upstreams returns the upstreams in the order in which they are asked, or nil while the member list is not known. The caller
// must not change the result.
func (s *Source) upstreams() []upstream {
	members := s.fleet.Members()
	return s.upstreamCache.get(members, s.self.usesRelays(len(members), s.fleet.Instances()), s.upstreamsAmong)
}

// upstreamsAmong computes the upstreams from the members of the fleet; relays says whether the fleet uses relays.
func (s *Source) upstreamsAmong(members []membership.Instance, relays bool) []upstream {
	switch {
	case len(members) == 0:
		return nil
	case !relays:
		return append([]upstream{{}}, s.peerUpstreams(members)...)
	default:
		return upstreamsOf(s.self.Name, s.self.Domain, members)
	}
}

// peerUpstreams returns some of the other instances of a fleet without relays. Each instance starts at another position of
// the list, so that they share the load.
func (s *Source) peerUpstreams(members []membership.Instance) []upstream {
	var out []upstream
	first := int(hashOf(s.self.Name))
	for i := range members {
		m := members[(first+i)%len(members)]
		if m.Name != s.self.Name && m.Addr != "" && len(out) < peersWithoutRelays {
			out = append(out, upstream{addr: m.Addr})
		}
	}
	return out
}

// isRelay reports whether the instance is the relay of its domain, which follows the store for the others.
func (s *Source) isRelay() bool {
	upstreams := s.upstreams()
	return len(upstreams) > 0 && upstreams[0].direct()
}

// usableUpstreams returns the upstreams that are not backed off. Whether the store may be asked is decided later, when its
// turn comes.
func (s *Source) usableUpstreams(feed follow.Feed) []upstream {
	upstreams := s.upstreams()
	if upstreams == nil {
		upstreams = []upstream{{}}
	}
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if feed == follow.FeedQuarantine {
		upstreams = s.preferConfigUpstream(upstreams)
	}
	var out []upstream
	for _, u := range s.withReferral(upstreams, feed) {
		if u.direct() || !now.Before(s.backoffs[u.addr].until) {
			out = append(out, u)
		}
	}
	return out
}

// preferConfigUpstream moves the upstream that last served the configuration to the front, since a working upstream is found
// sooner for the configuration. A standby relay whose relay has died would otherwise ask the dead relay again for each feed.
// The caller holds the lock.
func (s *Source) preferConfigUpstream(upstreams []upstream) []upstream {
	u := s.using[follow.FeedConfig]
	i := slices.Index(upstreams, u)
	if s.usingSince[follow.FeedConfig].IsZero() || i <= 0 {
		return upstreams
	}
	out := slices.Delete(slices.Clone(upstreams), i, i+1)
	return slices.Insert(out, 0, u)
}

// backOff keeps an upstream from being asked for a while after a failure, and reports whether it is the first failure in a
// row. Calls that fail together count once. The store is not backed off here: whether it is asked is decided by the breaker.
func (s *Source) backOff(u upstream, sentAt time.Time, refused bool) bool {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backoffs[u.addr]
	if now.Before(b.until) {
		return false
	}
	until := now.Add(retry.Backoff(firstBackoff, maxBackoff, b.failures))
	if refused {
		// A poll costs little at a relay that is reachable, and the relay may soon refer to an instance that can answer.
		until = now.Add(firstBackoff)
	}
	if u.direct() {
		s.breaker.storeFailed(sentAt)
		until = now
	}
	for i, referred := range s.referral {
		if referred == u {
			s.referral[i] = upstream{}
		}
	}
	s.backoffs[u.addr] = backoff{until: until, failures: b.failures + 1, refused: refused}
	return b.failures == 0
}

// noteResult records the result of a poll that was sent to an upstream at sentAt, and logs when a feed is served by another
// upstream than before.
func (s *Source) noteResult(feed follow.Feed, u upstream, sentAt time.Time, err error) {
	if err != nil {
		s.stats.Counter("feed_ways_failed_total").Inc(1)
		if !s.backOff(u, sentAt, errors.As(err, &refusal{})) {
			return
		}
		s.log.WithFields(logrus.Fields{"feed": feed.String(), "from": u.String()}).WithError(err).Warn("feed not heard")
		return
	}
	if s.noteAnswer(feed, u) {
		s.log.WithFields(logrus.Fields{"feed": feed.String(), "from": u.String()}).Info("feed heard from elsewhere")
	}
}

// noteAnswer records that an upstream has answered a feed, and reports whether another one served that before.
func (s *Source) noteAnswer(feed follow.Feed, u upstream) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	delete(s.backoffs, u.addr)
	s.answered[feed] = now
	if u.direct() {
		s.breaker.storeAnswered(now)
	} else {
		s.breaker.relayServed()
	}
	changed = s.using[feed] != u || s.usingSince[feed].IsZero()
	if changed {
		s.using[feed], s.usingSince[feed] = u, now
	}
	return changed
}
