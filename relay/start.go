package relay

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"junctioncross/follow"
	"junctioncross/link"
	"junctioncross/membership"
)

const (
	// firstRecordWait is how long an instance that starts waits for the first registration record of a fleet that has none: as
	// long as the instances of a new fleet take to write theirs. It waits longer while the store does not answer, since the
	// feeds are a hundred times as large as the records, and, once there are records, until it knows the fleet key, so that it
	// can ask a relay.
	firstRecordWait = 4 * time.Second
	// relayReadyTime is how long an instance that starts keeps asking relays that are reachable but have not read the feed
	// yet. Otherwise all instances that start together would read the full feed from the store. A relay has read it long
	// before this time is over, even if the store is slow.
	relayReadyTime = 2500 * time.Millisecond
	// standbyReadyTime is relayReadyTime for the standby relay of a domain, which thus has the feed by the time the others ask
	// it. The relay of a new fleet may be the last to learn of the other instances.
	standbyReadyTime = 1300 * time.Millisecond
	// readSpread and readSpreadServers are how long the network link of the store takes to transfer one full feed of the
	// largest fleet. The reads of the instances that have to ask the store are spread by this much time for each instance;
	// otherwise none would be answered in time.
	readSpread        = 2 * time.Millisecond
	readSpreadServers = 20 * time.Millisecond
	// fullFeedTimeout bounds the answer with a full feed: that of the largest fleet over the network link of a weak instance.
	fullFeedTimeout = 4 * time.Second
	// fullFeedPeers is the number of instances of the own domain that an instance without a registration record asks for a
	// full feed.
	fullFeedPeers = 3
	// readyRetryPause is the pause between two rounds of requests for a full feed.
	readyRetryPause = 100 * time.Millisecond
	// connectTimeout bounds the connection to a relay by an instance that starts: as long as an answer that is not held may
	// take.
	connectTimeout = peerTimeout
	// firstConnectTimeout is the part of connectTimeout after which a second connection is tried.
	firstConnectTimeout = 150 * time.Millisecond
)

// readFromRelay reads a full feed from a relay, once the member list is known. It limits the load when many instances start
// at once: each instance that reads the store itself costs as many calls as the feed has pages, and slows down the store for
// all others.
func (s *Source) readFromRelay(ctx context.Context, feed follow.Feed) (update, bool) {
	s.awaitMembers(ctx)
	until := s.clock.Now().Add(s.readyTimeout(feed))
	for {
		u, ok, reachable := s.pollFull(ctx, feed)
		if ok {
			return u, true
		}
		if !reachable || !s.clock.Now().Before(until) || !s.clock.Sleep(ctx, readyRetryPause) {
			return update{}, false
		}
	}
}

// awaitMembers waits until it is known which instances can be asked.
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

// membersKnown reports whether the members are known and can be asked, or are too few for relays.
func (s *Source) membersKnown() bool {
	n := len(s.fleet.Members())
	return n > 0 && (!s.self.usesRelays(n, s.fleet.Instances()) || len(s.fleet.Key()) > 0)
}

// readyTimeout returns how long relays that do not have the feed yet are asked. After that the instances with registration
// records read the store first, so that the others can ask them.
func (s *Source) readyTimeout(feed follow.Feed) time.Duration {
	if upstreams := s.upstreams(); len(upstreams) > 1 && upstreams[1].direct() {
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

// registered reports whether this instance is one of the members, that is, has a registration record.
func (s *Source) registered(members []membership.Instance) bool {
	return slices.ContainsFunc(members, func(m membership.Instance) bool { return m.Name == s.self.Name })
}

// fullFeedUpstreams returns the upstreams that an instance which starts asks for a full feed. The instances with registration
// records ask the relays. The others ask the instances with records, each starting at another one, since the network link of
// a single relay cannot carry what hundreds of instances read.
func (s *Source) fullFeedUpstreams() []upstream {
	members := s.fleet.Members()
	upstreams := s.upstreams()
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

// mostPowerful returns those of the ranked instances that have at least half the power of the first.
func mostPowerful(list []membership.Instance) []membership.Instance {
	for i, m := range list {
		if m.Power < list[0].Power/2 {
			return list[:i]
		}
	}
	return list
}

// pollFull asks each upstream before the store once for a full feed. The result reachable is true if one of them is reachable
// and may have the feed soon.
func (s *Source) pollFull(ctx context.Context, feed follow.Feed) (got update, ok, reachable bool) {
	for _, u := range s.fullFeedUpstreams() {
		if u.direct() {
			break
		}
		err := s.connect(ctx, u.addr)
		reachable = reachable || !errors.Is(err, link.ErrUnreachable)
		if err != nil {
			continue
		}
		if got, err := s.pollInstance(ctx, u.addr, poll{Feed: feed, Full: true}); err == nil {
			s.noteResult(feed, u, s.clock.Now(), nil)
			return got, true, true
		}
	}
	return update{}, false, reachable
}

// connect connects to the instance at addr. It has a timeout of its own: the one for the answer is many times longer, since a
// full feed takes its time over a slow network link, and an instance that starts would wait that long for each relay that is
// gone. A relay that starts at the same moment may not listen yet, and the transport resends lost packets late, so a second
// connection is tried early.
func (s *Source) connect(ctx context.Context, addr string) error {
	err := s.connectWithin(ctx, addr, firstConnectTimeout)
	if errors.Is(err, link.ErrUnreachable) {
		return s.connectWithin(ctx, addr, connectTimeout-firstConnectTimeout)
	}
	return err
}

func (s *Source) connectWithin(ctx context.Context, addr string, limit time.Duration) error {
	ctx, cancel := s.clock.WithTimeout(ctx, limit)
	defer cancel()
	return s.peers.connect(ctx, addr)
}
