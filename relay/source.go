package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"junctioncross/census"
	"junctioncross/follow"
	"junctioncross/link"
	"junctioncross/metrics"
	"junctioncross/retry"
	"junctioncross/timer"
)

const (
	// readTime bounds the reading of a whole feed: a hundred times what the platform's store takes on a calm day.
	readTime = 2 * time.Second
	// answerTime is how long after the end of its wait a watch in the store may be answered.
	answerTime = 1200 * time.Millisecond
	// configWait is how long a watch on the configuration waits for news. An answer confirms that no key was taken away; the
	// wait leaves more than a second of the time for which confirmed keys are accepted, also when a relay adds its own.
	configWait = 1200 * time.Millisecond
	// serversWait is the same for the servers, whose news confirm nothing that is needed often.
	serversWait = 8 * time.Second
	// doubtWait is how long any watch waits while the store is in doubt, so that its return is noticed.
	doubtWait = time.Second
	// countTime is how long an instance that starts waits for the first count of the others, so that it can ask a relay.
	countTime = 400 * time.Millisecond
	// countPoll is how often it looks.
	countPoll = 20 * time.Millisecond
	// settledTime is how long an instance must have followed the store itself to count as one that does, if it is not the
	// relay of its domain: relays that were lost for a moment come back.
	settledTime = 3 * time.Second
	// firstLeft is how long a way is left alone after a failure; the time doubles up to longestPeer, since the return must be
	// noticed soon, and up to longestStore where relays do that and the store counts every call.
	firstLeft    = 200 * time.Millisecond
	longestPeer  = 800 * time.Millisecond
	longestStore = 3 * time.Second
	// hurriedWait is the shortest that the store accepts.
	hurriedWait = time.Millisecond
)

// Fleet tells what instances there are.
type Fleet interface {
	// Members returns the instances that were counted last; it is empty before the first count.
	Members() []census.Instance
}

// Self says which instance this is and from how many instances on relays are used.
type Self struct {
	Name   string
	Domain string
	// From is the number of instances from which relays are used; with fewer, each watches the store itself.
	From int
}

// Source follows the store, by itself or through a relay; it implements follow.Source.
type Source struct {
	self  Self
	store Store
	fleet Fleet
	links *link.Client
	clock *timer.Service
	stats *metrics.Registry
	log   *logrus.Logger
	logs  [2]*feedLog
	// stopped is true once the instance serves other instances no more.
	stopped atomic.Bool
	epoch   *epoch

	mu sync.Mutex
	// left says until when ways that failed are left alone, by address.
	left map[string]rest
	// using holds the way that each feed uses, and since when.
	using [2]way
	since [2]time.Time
}

// rest says until when a way is left alone, and after how many failures in a row.
type rest struct {
	until    time.Time
	failures int
}

// New returns a Source.
func New(
	self Self, store Store, fleet Fleet, links *link.Client, clock *timer.Service, stats *metrics.Registry, log *logrus.Logger,
) *Source {
	return &Source{
		self: self, store: store, fleet: fleet, links: links, clock: clock, stats: stats, log: log,
		logs: [2]*feedLog{newFeedLog(), newFeedLog()}, epoch: newEpoch(), left: map[string]rest{},
	}
}

// Stop makes the instance refuse the questions of others, so that they ask elsewhere at once.
func (s *Source) Stop() {
	s.stopped.Store(true)
	for _, l := range s.logs {
		l.lose()
	}
}

// Direct reports whether the instance follows the store itself: as the relay of its domain, because there are no relays, or
// because it has found none for a while. It is false until the instances were counted.
func (s *Source) Direct() bool {
	switch {
	case s.ways() == nil:
		return false
	case s.relay():
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.using[follow.FeedConfig].direct() && s.clock.Since(s.since[follow.FeedConfig]) >= settledTime
}

// Read implements follow.Source. An instance that starts asks a relay; afterwards whole feeds are read from the store only,
// since what another instance has may be older than what is known here.
func (s *Source) Read(ctx context.Context, feed follow.Feed) (follow.News, error) {
	if s.logs[feed].since(0).at == 0 {
		if h, ok := s.readRelay(ctx, feed); ok {
			s.logs[feed].restart(h, false)
			return s.news(h), nil
		}
	}
	asked := s.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	records, at, err := s.store.ReadFeed(ctx, feed)
	if err != nil {
		s.lost()
		return follow.News{}, err
	}
	h := heard{records: records, at: at, known: asked}
	s.epoch.sound()
	s.logs[feed].restart(h, true)
	return s.news(h), nil
}

// Next implements follow.Source.
func (s *Source) Next(ctx context.Context, feed follow.Feed, after follow.Position) (follow.News, error) {
	var last error
	ways := s.usable()
	if len(ways) == 0 {
		return follow.News{}, errors.Wrap(follow.ErrUnavailable, "everything failed a moment ago")
	}
	for i, w := range ways {
		// After a failure the news are late already, so that the next place is asked for what there is and not to wait.
		h, err := s.from(ctx, w, feed, after, i > 0)
		switch {
		case err == nil:
			s.note(feed, w, nil)
			s.logs[feed].extend(h, w.direct())
			return s.news(h), nil
		case errors.Is(err, follow.ErrHistoryGone) || ctx.Err() != nil:
			return follow.News{}, err
		}
		s.note(feed, w, err)
		last = err
	}
	return follow.News{}, last
}

// readRelay reads a whole feed from a relay, once the instances are counted.
func (s *Source) readRelay(ctx context.Context, feed follow.Feed) (heard, bool) {
	for until := s.clock.Now().Add(countTime); s.ways() == nil && s.clock.Now().Before(until); {
		s.clock.Sleep(ctx, countPoll)
	}
	for _, w := range s.usable() {
		if w.direct() {
			break
		}
		if h, err := s.ask(ctx, w.addr, poll{Feed: feed, Whole: true}); err == nil {
			s.note(feed, w, nil)
			return h, true
		}
	}
	return heard{}, false
}

// ways returns where to ask, or nil while the instances are not counted.
func (s *Source) ways() []way {
	members := s.fleet.Members()
	switch {
	case len(members) == 0:
		return nil
	case len(members) < s.self.From:
		return []way{{}}
	default:
		return waysOf(s.self.Name, s.self.Domain, members)
	}
}

// relay reports whether the instance is the one of its domain that follows the store for others.
func (s *Source) relay() bool {
	ways := s.ways()
	return len(ways) > 0 && ways[0].direct()
}

// usable returns the ways that are not left alone after a failure.
func (s *Source) usable() []way {
	ways := s.ways()
	if ways == nil {
		ways = []way{{}}
	}
	if len(ways) == 1 {
		return ways
	}
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []way
	for _, w := range ways {
		if !now.Before(s.left[w.addr].until) {
			out = append(out, w)
		}
	}
	return out
}

// failed leaves a way alone for a while and reports whether it is the first failure in a row. Calls that fail together count
// once.
func (s *Source) failed(w way) bool {
	now, relay := s.clock.Now(), s.relay()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.left[w.addr]
	if now.Before(r.until) {
		return false
	}
	longest := longestPeer
	if w.direct() && !relay {
		longest = longestStore
	}
	s.left[w.addr] = rest{until: now.Add(retry.Doubled(firstLeft, longest, r.failures)), failures: r.failures + 1}
	return r.failures == 0
}

func (s *Source) from(ctx context.Context, w way, feed follow.Feed, after follow.Position, hurry bool) (heard, error) {
	if !w.direct() {
		return s.ask(ctx, w.addr, poll{Feed: feed, After: after})
	}
	h, err := s.watch(ctx, feed, after, hurry)
	if err != nil && ctx.Err() == nil && !errors.Is(err, follow.ErrHistoryGone) {
		s.lost()
	}
	return h, err
}

// watch asks the store; the call ends early when another call finds that the store does not answer.
func (s *Source) watch(ctx context.Context, feed follow.Feed, after follow.Position, hurry bool) (heard, error) {
	epoch, doubt := s.epoch.current()
	wait := waitOf(feed, doubt, hurry)
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	defer context.AfterFunc(epoch, cancel)()
	asked := s.clock.Now()
	records, at, err := s.store.WatchFeed(ctx, feed, after, wait)
	if err != nil {
		return heard{}, err
	}
	s.epoch.sound()
	known := asked
	if len(records) == 0 && s.clock.Since(asked) >= wait {
		// The store held the call for the whole wait and had nothing to say.
		known = asked.Add(wait)
	}
	return heard{records: records, at: max(at, after), known: known}, nil
}

func waitOf(feed follow.Feed, doubt, hurry bool) time.Duration {
	switch {
	case hurry:
		return hurriedWait
	case doubt:
		return doubtWait
	case feed == follow.FeedServers:
		return serversWait
	default:
		return configWait
	}
}

// lost ends the calls that wait for the store, and the service to other instances.
func (s *Source) lost() {
	s.epoch.doubt()
	for _, l := range s.logs {
		l.lose()
	}
}

func (s *Source) news(h heard) follow.News {
	return follow.News{Changes: s.store.Decode(h.records), At: h.at, Known: h.known}
}

// note keeps how a way was found, and logs when a feed is had from another place than before.
func (s *Source) note(feed follow.Feed, w way, err error) {
	if err != nil {
		s.stats.Counter("feed_ways_failed_total").Inc(1)
		if !s.failed(w) {
			return
		}
		s.log.WithFields(logrus.Fields{"feed": feed.String(), "from": w.String()}).WithError(err).Warn("feed not heard")
		return
	}
	s.mu.Lock()
	delete(s.left, w.addr)
	changed := s.using[feed] != w || s.since[feed].IsZero()
	if changed {
		s.using[feed], s.since[feed] = w, s.clock.Now()
	}
	s.mu.Unlock()
	if changed {
		s.log.WithFields(logrus.Fields{"feed": feed.String(), "from": w.String()}).Info("feed heard from elsewhere")
	}
}
