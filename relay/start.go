package relay

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"junctioncross/census"
	"junctioncross/follow"
	"junctioncross/link"
)

const (
	// countTime is how long an instance that starts waits for the first record of a fleet that has none: as long as the instances of a new fleet
	// take to write theirs. It waits for longer while the store tells nothing, since the feeds are a hundred times as large as the records, and
	// until it knows the fleet's key once there are records, so that it can ask a relay.
	countTime = 4 * time.Second
	// readyTime is how long an instance that starts goes on asking relays that are there and do not know the feed themselves yet. All
	// instances that started together would read the whole feed otherwise; a relay has read it long before also at a slow store.
	readyTime = 2500 * time.Millisecond
	// standInTime is the same for the stand-in of a domain, which so knows the feed when the others ask it. The relay of a new fleet may be
	// the last to count the others.
	standInTime = 1300 * time.Millisecond
	// readShare and readShareServers are what a whole feed takes of the store's line at the size of the largest fleet. Instances that read
	// the store after all are spread over as much for each of them, or none would be answered in time.
	readShare        = 2 * time.Millisecond
	readShareServers = 20 * time.Millisecond
	// wholeAnswer is how long the answer with a whole feed may take: that of the largest fleet over the line of a weak instance.
	wholeAnswer = 4 * time.Second
	// wholeAsked is the number of instances of the own domain that one without a record asks for a whole feed.
	wholeAsked = 3
	// readyPause is the pause between two rounds of questions.
	readyPause = 100 * time.Millisecond
	// reachTime is how long a relay may take to be reached by an instance that starts: as much as an answer that needs no wait may take.
	reachTime = peerAnswer
	// firstReach is the part of it after which a new connection is tried.
	firstReach = 150 * time.Millisecond
)

// readRelay reads a whole feed from a relay, once the instances are counted. It answers a start of many instances at once: each that
// reads the store itself costs as many calls as the feed has pages, and the store serves all of them more slowly.
func (s *Source) readRelay(ctx context.Context, feed follow.Feed) (heard, bool) {
	s.awaitCount(ctx)
	until := s.clock.Now().Add(s.patience(feed))
	for {
		h, ok, there := s.askWhole(ctx, feed)
		if ok {
			return h, true
		}
		if !there || !s.clock.Now().Before(until) || !s.clock.Sleep(ctx, readyPause) {
			return heard{}, false
		}
	}
}

// awaitCount waits until it is known whom to ask.
func (s *Source) awaitCount(ctx context.Context) {
	for {
		changed := s.fleet.Changed()
		if s.counted() {
			return
		}
		var empty <-chan time.Time
		if s.fleet.Empty() {
			empty = s.clock.After(countTime)
		}
		select {
		case <-changed:
		case <-empty:
			return
		case <-ctx.Done():
			return
		}
	}
}

// counted reports whether the instances are counted and can be asked, or are too few for relays.
func (s *Source) counted() bool {
	n := len(s.fleet.Members())
	return n > 0 && (!s.self.relays(n, s.fleet.Instances()) || len(s.fleet.Key()) > 0)
}

// patience returns how long relays are asked that do not know the feed yet. Those that have records read the store first after that, so that
// the others can ask them.
func (s *Source) patience(feed follow.Feed) time.Duration {
	if ways := s.ways(); len(ways) > 1 && ways[1].direct() {
		return standInTime
	}
	share, readers := readShare, s.fleet.Instances()
	if feed == follow.FeedServers {
		share = readShareServers
	}
	if members := s.fleet.Members(); s.recorded(members) {
		readers = len(members)
	}
	return readyTime + time.Duration(s.random()*float64(readers)*float64(share))
}

// recorded reports whether this instance is one of those that have records.
func (s *Source) recorded(members []census.Instance) bool {
	return slices.ContainsFunc(members, func(m census.Instance) bool { return m.Name == s.self.Name })
}

// wholeWays returns where an instance that starts asks for a whole feed. Those that have records ask the relays; the others ask them, each
// beginning with another, since the line of one relay does not carry what hundreds of instances read.
func (s *Source) wholeWays() []way {
	members := s.fleet.Members()
	ways := s.ways()
	if len(ways) == 0 || ways[0].direct() || s.recorded(members) {
		return ways
	}
	own := strongest(ranked(members)[s.self.Domain])
	first := int(hashOf(s.self.Name))
	var out []way
	for i := range min(len(own), wholeAsked) {
		out = append(out, way{addr: own[(first+i)%len(own)].Addr})
	}
	return append(out, ways[min(relaysAsked, len(own)):]...)
}

// strongest returns those of ranked instances that have at least half of the power of the first.
func strongest(list []census.Instance) []census.Instance {
	for i, m := range list {
		if m.Power < list[0].Power/2 {
			return list[:i]
		}
	}
	return list
}

// askWhole asks each relay once for a whole feed; there is true when one of them is there that may know it soon.
func (s *Source) askWhole(ctx context.Context, feed follow.Feed) (h heard, ok, there bool) {
	for _, w := range s.wholeWays() {
		if w.direct() {
			break
		}
		err := s.reach(ctx, w.addr)
		there = there || !errors.Is(err, link.ErrUnreachable)
		if err != nil {
			continue
		}
		if h, err := s.ask(ctx, w.addr, poll{Feed: feed, Whole: true}); err == nil {
			s.note(feed, w, s.clock.Now(), nil)
			return h, true, true
		}
	}
	return heard{}, false, there
}

// reach connects to the instance at addr. The time for an answer is many times longer, since everything that a feed holds takes its time
// over a slow line; an instance that starts would wait that long for each relay that is gone. One that starts at the same moment may not
// listen yet, and what was sent to it is sent again late, so that a second connection is tried sooner.
func (s *Source) reach(ctx context.Context, addr string) error {
	err := s.reachWithin(ctx, addr, firstReach)
	if errors.Is(err, link.ErrUnreachable) {
		return s.reachWithin(ctx, addr, reachTime-firstReach)
	}
	return err
}

func (s *Source) reachWithin(ctx context.Context, addr string, limit time.Duration) error {
	ctx, cancel := s.clock.WithTimeout(ctx, limit)
	defer cancel()
	return s.peers.reach(ctx, addr)
}
