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
	// firstRecordWait is how long an instance that starts waits for the first record of a fleet that has none: as long as the instances of a new fleet
	// take to write theirs. It waits for longer while the store tells nothing, since the feeds are a hundred times as large as the records, and
	// until it knows the fleet's key once there are records, so that it can ask a relay.
	firstRecordWait = 4 * time.Second
	// relayReadyTime is how long an instance that starts goes on asking relays that are there and do not know the feed themselves yet. All
	// instances that started together would read the whole feed otherwise; a relay has read it long before also at a slow store.
	relayReadyTime = 2500 * time.Millisecond
	// standbyReadyTime is the same for the stand-in of a domain, which so knows the feed when the others ask it. The relay of a new fleet may be
	// the last to count the others.
	standbyReadyTime = 1300 * time.Millisecond
	// readSpread and readShareServers are what a whole feed takes of the store's line at the size of the largest fleet. Instances that read
	// the store after all are spread over as much for each of them, or none would be answered in time.
	readSpread        = 2 * time.Millisecond
	readSpreadServers = 20 * time.Millisecond
	// fullFeedTimeout is how long the answer with a whole feed may take: that of the largest fleet over the line of a weak instance.
	fullFeedTimeout = 4 * time.Second
	// fullFeedPeers is the number of instances of the own domain that one without a record asks for a whole feed.
	fullFeedPeers = 3
	// readyRetryPause is the pause between two rounds of questions.
	readyRetryPause = 100 * time.Millisecond
	// connectTimeout is how long a relay may take to be reached by an instance that starts: as much as an answer that needs no wait may take.
	connectTimeout = peerTimeout
	// firstConnectTimeout is the part of it after which a new connection is tried.
	firstConnectTimeout = 150 * time.Millisecond
)

// readFromRelay reads a whole feed from a relay, once the instances are counted. It answers a start of many instances at once: each that
// reads the store itself costs as many calls as the feed has pages, and the store serves all of them more slowly.
func (s *Source) readFromRelay(ctx context.Context, feed follow.Feed) (heard, bool) {
	s.awaitMembers(ctx)
	until := s.clock.Now().Add(s.readyTimeout(feed))
	for {
		h, ok, reachable := s.pollFull(ctx, feed)
		if ok {
			return h, true
		}
		if !reachable || !s.clock.Now().Before(until) || !s.clock.Sleep(ctx, readyRetryPause) {
			return heard{}, false
		}
	}
}

// awaitMembers waits until it is known whom to ask.
func (s *Source) awaitMembers(ctx context.Context) {
	for {
		changed := s.fleet.Changed()
		if s.membersKnown() {
			return
		}
		var empty <-chan time.Time
		if s.fleet.Empty() {
			empty = s.clock.After(firstRecordWait)
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

// membersKnown reports whether the instances are membersKnown and can be asked, or are too few for relays.
func (s *Source) membersKnown() bool {
	n := len(s.fleet.Members())
	return n > 0 && (!s.self.relays(n, s.fleet.Instances()) || len(s.fleet.Key()) > 0)
}

// readyTimeout returns how long relays are asked that do not know the feed yet. Those that have records read the store first after that, so that
// the others can ask them.
func (s *Source) readyTimeout(feed follow.Feed) time.Duration {
	if upstreams := s.ways(); len(upstreams) > 1 && upstreams[1].direct() {
		return standbyReadyTime
	}
	share, readers := readSpread, s.fleet.Instances()
	if feed == follow.FeedServers {
		share = readSpreadServers
	}
	if members := s.fleet.Members(); s.registered(members) {
		readers = len(members)
	}
	return relayReadyTime + time.Duration(s.random()*float64(readers)*float64(share))
}

// registered reports whether this instance is one of those that have records.
func (s *Source) registered(members []census.Instance) bool {
	return slices.ContainsFunc(members, func(m census.Instance) bool { return m.Name == s.self.Name })
}

// fullFeedUpstreams returns where an instance that starts asks for a whole feed. Those that have records ask the relays; the others ask them, each
// beginning with another, since the line of one relay does not carry what hundreds of instances read.
func (s *Source) fullFeedUpstreams() []upstream {
	members := s.fleet.Members()
	upstreams := s.ways()
	if len(upstreams) == 0 || upstreams[0].direct() || s.registered(members) {
		return upstreams
	}
	own := mostPowerful(ranked(members)[s.self.Domain])
	first := int(hashOf(s.self.Name))
	var out []upstream
	for i := range min(len(own), fullFeedPeers) {
		out = append(out, upstream{addr: own[(first+i)%len(own)].Addr})
	}
	return append(out, upstreams[min(ownRelaysAsked, len(own)):]...)
}

// mostPowerful returns those of ranked instances that have at least half of the power of the first.
func mostPowerful(list []census.Instance) []census.Instance {
	for i, m := range list {
		if m.Power < list[0].Power/2 {
			return list[:i]
		}
	}
	return list
}

// pollFull asks each relay once for a whole feed; there is true when one of them is there that may know it soon.
func (s *Source) pollFull(ctx context.Context, feed follow.Feed) (h heard, ok, reachable bool) {
	for _, u := range s.fullFeedUpstreams() {
		if u.direct() {
			break
		}
		err := s.reach(ctx, u.addr)
		reachable = reachable || !errors.Is(err, link.ErrUnreachable)
		if err != nil {
			continue
		}
		if h, err := s.ask(ctx, u.addr, poll{Feed: feed, Whole: true}); err == nil {
			s.noteResult(feed, u, s.clock.Now(), nil)
			return h, true, true
		}
	}
	return heard{}, false, reachable
}

// reach connects to the instance at addr. The time for an answer is many times longer, since everything that a feed holds takes its time
// over a slow line; an instance that starts would wait that long for each relay that is gone. One that starts at the same moment may not
// listen yet, and what was sent to it is sent again late, so that a second connection is tried sooner.
func (s *Source) reach(ctx context.Context, addr string) error {
	err := s.reachWithin(ctx, addr, firstConnectTimeout)
	if errors.Is(err, link.ErrUnreachable) {
		return s.reachWithin(ctx, addr, connectTimeout-firstConnectTimeout)
	}
	return err
}

func (s *Source) reachWithin(ctx context.Context, addr string, limit time.Duration) error {
	ctx, cancel := s.clock.WithTimeout(ctx, limit)
	defer cancel()
	return s.peers.reach(ctx, addr)
}
