package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"junctioncross/census"
	"junctioncross/follow"
	"junctioncross/retry"
)

const (
	// firstBackoff is how long a relay is left alone after a failure; the time doubles up to longestLeft, since its return must be noticed
	// soon.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
)

// backoff says until when a way is left alone, and after how many failures in a row.
type backoff struct {
	until    time.Time
	failures int
	// refused is true when the last question was refused by a relay that is there.
	refused bool
}

// upstreamCache holds the ways that follow from one count of the instances. Each question asks for them several times, and half of the time of 295
// instances that ask through an outage went into upstreamCache the same instances anew.
type upstreamCache struct {
	mu      sync.Mutex
	members []census.Instance
	relays  bool
	list    []upstream
}

// get returns the ways that work out makes get these members, which are counted as a whole and not changed afterwards.
func (c *upstreamCache) get(members []census.Instance, relays bool, compute func([]census.Instance, bool) []upstream) []upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(members) == 0 || len(members) != len(c.members) || &members[0] != &c.members[0] || relays != c.relays {
		c.members, c.relays, c.list = members, relays, compute(members, relays)
	}
	return c.list
}

// ways returns where to ask, or nil while the instances are not counted; the caller does not change it.
func (s *Source) ways() []upstream {
	members := s.fleet.Members()
	return s.upstreamCache.get(members, s.self.relays(len(members), s.fleet.Instances()), s.upstreamsAmong)
}

// upstreamsAmong works out where to ask among some instances, which use relays or do not.
func (s *Source) upstreamsAmong(members []census.Instance, relays bool) []upstream {
	switch {
	case len(members) == 0:
		return nil
	case !relays:
		return append([]upstream{{}}, s.peerUpstreams(members)...)
	default:
		return waysOf(s.self.Name, s.self.Domain, members)
	}
}

// peerUpstreams returns some of the other instances of a fleet without relays, of whom each instance begins with another.
func (s *Source) peerUpstreams(members []census.Instance) []upstream {
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

// relay reports whether the instance is the one of its domain that follows the store for others.
func (s *Source) relay() bool {
	upstreams := s.ways()
	return len(upstreams) > 0 && upstreams[0].direct()
}

// usableUpstreams returns the ways that are not left alone after a failure; for the store that is decided when its turn comes.
func (s *Source) usableUpstreams(feed follow.Feed) []upstream {
	upstreams := s.ways()
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

// preferConfigUpstream puts the place first that the configuration was last had from, which is found sooner: a stand-in whose relay has died would ask that one for
// each feed again. The caller holds the lock.
func (s *Source) preferConfigUpstream(upstreams []upstream) []upstream {
	u := s.using[follow.FeedConfig]
	i := slices.Index(upstreams, u)
	if s.usingSince[follow.FeedConfig].IsZero() || i <= 0 {
		return upstreams
	}
	out := slices.Delete(slices.Clone(upstreams), i, i+1)
	return slices.Insert(out, 0, u)
}

// backOff leaves a relay alone for a while and reports whether it is the first failure of a way in a row. Calls that fail together count
// once. Whether the store is left alone is decided by sparing.
func (s *Source) backOff(u upstream, asked time.Time, refused bool) bool {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backoffs[u.addr]
	if now.Before(b.until) {
		return false
	}
	until := now.Add(retry.Doubled(firstBackoff, maxBackoff, b.failures))
	if refused {
		// It costs little to ask one that is there, and it may soon name another that can answer.
		until = now.Add(firstBackoff)
	}
	if u.direct() {
		s.breaker.storeFailed(asked)
		until = now
	}
	for i, h := range s.referral {
		if h == u {
			s.referral[i] = upstream{}
		}
	}
	s.backoffs[u.addr] = backoff{until: until, failures: b.failures + 1, refused: refused}
	return b.failures == 0
}

// noteResult keeps how a way was found that was asked at a moment, and logs when a feed is had from another place than before.
func (s *Source) noteResult(feed follow.Feed, u upstream, asked time.Time, err error) {
	if err != nil {
		s.stats.Counter("feed_ways_failed_total").Inc(1)
		if !s.backOff(u, asked, errors.As(err, &refusal{})) {
			return
		}
		s.log.WithFields(logrus.Fields{"feed": feed.String(), "from": u.String()}).WithError(err).Warn("feed not heard")
		return
	}
	s.mu.Lock()
	now := s.clock.Now()
	delete(s.backoffs, u.addr)
	s.answered[feed] = now
	if u.direct() {
		s.breaker.storeAnswered(now)
	} else {
		s.breaker.relayServed()
	}
	changed := s.using[feed] != u || s.usingSince[feed].IsZero()
	if changed {
		s.using[feed], s.usingSince[feed] = u, now
	}
	s.mu.Unlock()
	if changed {
		s.log.WithFields(logrus.Fields{"feed": feed.String(), "from": u.String()}).Info("feed heard from elsewhere")
	}
}
