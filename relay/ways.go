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
	// firstLeft is how long a relay is left alone after a failure; the time doubles up to longestLeft, since its return must be noticed
	// soon.
	firstLeft   = 200 * time.Millisecond
	longestLeft = 800 * time.Millisecond
)

// rest says until when a way is left alone, and after how many failures in a row.
type rest struct {
	until    time.Time
	failures int
	// refused is true when the last question was refused by a relay that is there.
	refused bool
}

// ranking holds the ways that follow from one count of the instances. Each question asks for them several times, and half of the time of 295
// instances that ask through an outage went into ranking the same instances anew.
type ranking struct {
	mu      sync.Mutex
	members []census.Instance
	relays  bool
	ways    []way
}

// of returns the ways that work out makes of these members, which are counted as a whole and not changed afterwards.
func (r *ranking) of(members []census.Instance, relays bool, work func([]census.Instance, bool) []way) []way {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(members) == 0 || len(members) != len(r.members) || &members[0] != &r.members[0] || relays != r.relays {
		r.members, r.relays, r.ways = members, relays, work(members, relays)
	}
	return r.ways
}

// ways returns where to ask, or nil while the instances are not counted; the caller does not change it.
func (s *Source) ways() []way {
	members := s.fleet.Members()
	return s.ranking.of(members, s.self.relays(len(members), s.fleet.Instances()), s.waysAmong)
}

// waysAmong works out where to ask among some instances, which use relays or do not.
func (s *Source) waysAmong(members []census.Instance, relays bool) []way {
	switch {
	case len(members) == 0:
		return nil
	case !relays:
		return append([]way{{}}, s.othersOf(members)...)
	default:
		return waysOf(s.self.Name, s.self.Domain, members)
	}
}

// othersOf returns some of the other instances of a fleet without relays, of whom each instance begins with another.
func (s *Source) othersOf(members []census.Instance) []way {
	var out []way
	first := int(hashOf(s.self.Name))
	for i := range members {
		m := members[(first+i)%len(members)]
		if m.Name != s.self.Name && m.Addr != "" && len(out) < othersOfFew {
			out = append(out, way{addr: m.Addr})
		}
	}
	return out
}

// relay reports whether the instance is the one of its domain that follows the store for others.
func (s *Source) relay() bool {
	ways := s.ways()
	return len(ways) > 0 && ways[0].direct()
}

// usable returns the ways that are not left alone after a failure; for the store that is decided when its turn comes.
func (s *Source) usable(feed follow.Feed) []way {
	ways := s.ways()
	if ways == nil {
		ways = []way{{}}
	}
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if feed == follow.FeedQuarantine {
		ways = s.likeConfig(ways)
	}
	var out []way
	for _, w := range s.withHelper(ways, feed) {
		if w.direct() || !now.Before(s.left[w.addr].until) {
			out = append(out, w)
		}
	}
	return out
}

// likeConfig puts the place first that the configuration was last had from, which is found sooner: a stand-in whose relay has died would ask that one for
// each feed again. The caller holds the lock.
func (s *Source) likeConfig(ways []way) []way {
	w := s.using[follow.FeedConfig]
	i := slices.Index(ways, w)
	if s.since[follow.FeedConfig].IsZero() || i <= 0 {
		return ways
	}
	out := slices.Delete(slices.Clone(ways), i, i+1)
	return slices.Insert(out, 0, w)
}

// failed leaves a relay alone for a while and reports whether it is the first failure of a way in a row. Calls that fail together count
// once. Whether the store is left alone is decided by sparing.
func (s *Source) failed(w way, asked time.Time, refused bool) bool {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.left[w.addr]
	if now.Before(r.until) {
		return false
	}
	until := now.Add(retry.Doubled(firstLeft, longestLeft, r.failures))
	if refused {
		// It costs little to ask one that is there, and it may soon name another that can answer.
		until = now.Add(firstLeft)
	}
	if w.direct() {
		s.sparing.storeFailed(asked)
		until = now
	}
	for i, h := range s.helper {
		if h == w {
			s.helper[i] = way{}
		}
	}
	s.left[w.addr] = rest{until: until, failures: r.failures + 1, refused: refused}
	return r.failures == 0
}

// note keeps how a way was found that was asked at a moment, and logs when a feed is had from another place than before.
func (s *Source) note(feed follow.Feed, w way, asked time.Time, err error) {
	if err != nil {
		s.stats.Counter("feed_ways_failed_total").Inc(1)
		if !s.failed(w, asked, errors.As(err, &refusal{})) {
			return
		}
		s.log.WithFields(logrus.Fields{"feed": feed.String(), "from": w.String()}).WithError(err).Warn("feed not heard")
		return
	}
	s.mu.Lock()
	now := s.clock.Now()
	delete(s.left, w.addr)
	s.answered[feed] = now
	if w.direct() {
		s.sparing.storeAnswered(now)
	} else {
		s.sparing.relayServed()
	}
	changed := s.using[feed] != w || s.since[feed].IsZero()
	if changed {
		s.using[feed], s.since[feed] = w, now
	}
	s.mu.Unlock()
	if changed {
		s.log.WithFields(logrus.Fields{"feed": feed.String(), "from": w.String()}).Info("feed heard from elsewhere")
	}
}
