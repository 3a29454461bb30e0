package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"junctioncross/follow"
	"junctioncross/link"
)

const (
	// countTime is how long an instance that starts waits until the others are counted and the fleet's key is known, so that it can ask a
	// relay: as long as the instances of a new fleet take to write their records and find each other's.
	countTime = 4 * time.Second
	// countPoll is how often it looks.
	countPoll = 20 * time.Millisecond
	// readyTime is how long an instance that starts goes on asking relays that are there and do not know the feed themselves yet. All
	// instances that started together would read the whole feed otherwise; a relay has read it long before also at a slow store.
	readyTime = 2500 * time.Millisecond
	// standInTime is the same for the stand-in of a domain, which so knows the feed when the others ask it. The relay of a new fleet may be
	// the last to count the others, 0.7 s after the first.
	standInTime = 1300 * time.Millisecond
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
	until := s.clock.Now().Add(s.patience())
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
	until := s.clock.Now().Add(countTime)
	for !s.counted() && s.clock.Now().Before(until) {
		if !s.clock.Sleep(ctx, countPoll) {
			return
		}
	}
}

// counted reports whether the instances are counted and can be asked, or are too few for relays.
func (s *Source) counted() bool {
	n := len(s.fleet.Members())
	return n > 0 && (!s.self.relays(n) || len(s.fleet.Key()) > 0)
}

// patience returns how long relays are asked that do not know the feed yet.
func (s *Source) patience() time.Duration {
	if ways := s.ways(); len(ways) > 1 && ways[1].direct() {
		return standInTime
	}
	return readyTime
}

// askWhole asks each relay once for a whole feed; there is true when one of them is there that may know it soon.
func (s *Source) askWhole(ctx context.Context, feed follow.Feed) (h heard, ok, there bool) {
	for _, w := range s.ways() {
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
// listen yet, and what was sent to it is sent again only after 0.3 s, so that a second connection is tried sooner.
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
