package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"junctioncross/census"
	"junctioncross/follow"
	"junctioncross/link"
	"junctioncross/metrics"
	"junctioncross/timer"
)

const (
	// readTime bounds the reading of a whole feed, of which each page has its own bound: a store that is slow is read to the end.
	readTime = 20 * time.Second
	// settledTime is how long an instance must have followed the store itself to count as one that does, if it is not the
	// relay of its domain: relays that were lost for a moment come back.
	settledTime = 3 * time.Second
)

// lateTime is how long after its last answer a feed counts as late: longer than a relay holds a question.
const lateTime = pollHold + 100*time.Millisecond

// feeds is the number of feeds that are followed: configuration, servers and quarantine.
const feeds = 3

// Fleet tells what instances there are.
type Fleet interface {
	// Members returns the instances that have records; it is empty before the first count.
	Members() []census.Instance
	// Records returns the records.
	Records() []census.Record
	// Empty reports whether the records were read and there were none.
	Empty() bool
	// Changed returns what is closed when the records or the key change.
	Changed() <-chan struct{}
	// Instances returns the number of instances.
	Instances() int
	// Counts returns the numbers of instances that the relays of the domains have counted, and NoteCounts keeps newer ones.
	Counts() map[string]int
	NoteCounts(counts map[string]int)
	// Key returns what the instances prove themselves with to each other; it is empty while it is not known.
	Key() []byte
}

// Self says which instance this is and from how many instances on relays are used.
type Self struct {
	Name   string
	Domain string
	// Addr is the address for calls of other instances; it is empty when there are none.
	Addr string
	// From is the number of instances from which relays are used; with fewer, each watches the store itself.
	From int
	// ApplyTime is how long after its acceptance a configuration may not be in force yet.
	ApplyTime time.Duration
}

// minApplyTime is the shortest ApplyTime that is kept through relays: one that falls silent says so after 2.6 s.
const minApplyTime = 3 * time.Second

// relays reports whether so many instances use relays, of whom so many have records.
func (s Self) relays(members, instances int) bool {
	return members > 0 && max(members, instances) >= s.From && s.ApplyTime >= minApplyTime
}

// Source follows the store, by itself or through a relay; it implements follow.Source.
type Source struct {
	self  Self
	store Store
	fleet Fleet
	peers peers
	clock *timer.Service
	stats *metrics.Registry
	log   *logrus.Logger
	logs  [feeds]*feedLog
	// stopped is true once the instance serves other instances no more.
	stopped atomic.Bool
	epoch   *epoch
	tally   *tally
	words   Words
	ends    Ends
	begun   time.Time
	// worse is when a server last turned bad by the word of another instance, in nanoseconds since begun.
	worse atomic.Int64

	upstreamCache upstreamCache

	mu sync.Mutex
	// sent is up to when the own words were passed on, and marks how far others have passed on theirs, by address.
	sent  time.Time
	marks map[string]time.Duration
	// breaker decides about the store while relays refuse.
	breaker storeBreaker
	// backoffs says until when ways that failed are backoffs alone, by address.
	backoffs map[string]backoff
	// using holds the way that each feed uses, and since when.
	using      [feeds]upstream
	usingSince [feeds]time.Time
	// answered is when each feed was last answered.
	answered [feeds]time.Time
	// directPeers are those to which others are referred, and helper is the one that this instance was referred to, by feed.
	directPeers directPeers
	referral    [feeds]upstream
	// random returns numbers that are uniform in [0, 1).
	random func() float64
}

// New returns a Source.
func New(
	self Self, store Store, fleet Fleet, words Words, ends Ends, links *link.Client, clock *timer.Service, stats *metrics.Registry, log *logrus.Logger,
) *Source {
	return &Source{
		self: self, store: store, fleet: fleet, words: words, ends: ends, begun: clock.Now(), marks: map[string]time.Duration{}, peers: linked{client: links}, clock: clock, stats: stats, log: log,
		logs: [feeds]*feedLog{newFeedLog(), newFeedLog(), newFeedLog()}, epoch: newEpoch(), tally: newTally(clock), backoffs: map[string]backoff{}, breaker: storeBreaker{apply: self.ApplyTime},
		random: rand.Float64,
	}
}

// Stop makes the instance refuse the questions of others, so that they ask elsewhere at once.
func (s *Source) Stop() {
	s.stopped.Store(true)
	s.stopServing()
}

// stopServing ends the service to other instances until the feeds are heard from the store again.
func (s *Source) stopServing() {
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
	since := s.usingSince[follow.FeedConfig]
	// Before the first news it is not known whom the instance follows; in a start of many they would all ask for the right to give orders.
	return !since.IsZero() && s.using[follow.FeedConfig].direct() && s.clock.Since(since) >= settledTime
}

// Read implements follow.Source. An instance that starts asks a relay; afterwards whole feeds are read from the store only,
// since what another instance has may be older than what is known here.
func (s *Source) Read(ctx context.Context, feed follow.Feed) (follow.News, error) {
	if at, _ := s.logs[feed].reached(); at == 0 {
		if h, ok := s.readFromRelay(ctx, feed); ok {
			s.logs[feed].restart(h, false)
			return s.news(h), nil
		}
	}
	asked := s.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	records, at, err := s.store.ReadFeed(ctx, feed)
	if err != nil {
		s.storeLost()
		return follow.News{}, err
	}
	h := heard{records: records, at: at, known: asked}
	if held, _ := s.logs[feed].reached(); at < held {
		s.log.WithFields(logrus.Fields{
			"feed": feed.String(), "at": at.Revision(), "held": held.Revision(), "era": at.Era(), "held_era": held.Era(),
		}).Warn("feed read at an earlier position")
	}
	s.epoch.markHealthy()
	s.logs[feed].restart(h, true)
	return s.news(h), nil
}

// Next implements follow.Source.
func (s *Source) Next(ctx context.Context, feed follow.Feed, after follow.Position) (follow.News, error) {
	var last error
	upstreams := s.usableUpstreams(feed)
	for i := 0; i < len(upstreams); i++ {
		u := upstreams[i]
		if u.direct() && !s.mayAskStore(feed) {
			continue
		}
		asked := s.clock.Now()
		h, err := s.pollUpstream(ctx, u, feed, after, i > 0 && s.late(feed))
		switch {
		case err == nil:
			s.noteResult(feed, u, asked, nil)
			s.logs[feed].extend(h, u.direct())
			return s.news(h), nil
		case errors.Is(err, follow.ErrHistoryGone) || ctx.Err() != nil:
			return follow.News{}, err
		case errors.Is(err, errStoreSuspect):
			last = err
			continue
		}
		s.noteResult(feed, u, asked, err)
		upstreams = s.insertReferral(upstreams, i+1, feed, err)
		last = err
	}
	if last == nil {
		last = errors.Wrap(follow.ErrUnavailable, "no relay hears the store")
	}
	return follow.News{}, last
}

// late reports whether a feed has brought nothing for so long that the next place is asked for what there is, and not to wait. While it is
// not, places that have failed are passed over at the pace of those that answer: a relay that the store turned away would ask it without a
// pause otherwise.
func (s *Source) late(feed follow.Feed) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Since(s.answered[feed]) > lateTime
}

func (s *Source) pollUpstream(ctx context.Context, u upstream, feed follow.Feed, after follow.Position, noWait bool) (heard, error) {
	if !u.direct() {
		h, err := s.ask(ctx, u.addr, poll{Feed: feed, After: after, NoWait: noWait})
		if errors.Is(err, errBehind) {
			return s.catchUp(ctx, u, feed, after)
		}
		return h, err
	}
	h, err := s.watchStore(ctx, feed, after, noWait)
	if err != nil && ctx.Err() == nil && !errors.Is(err, follow.ErrHistoryGone) && !errors.Is(err, errStoreSuspect) {
		s.storeLost()
	}
	return h, err
}

// catchUp has the whole feed from a relay whose history does not reach back to a position, and returns what is new of it: instances that start
// together read the feeds at different moments, and all whose relay had read a feed last asked the store otherwise.
func (s *Source) catchUp(ctx context.Context, u upstream, feed follow.Feed, after follow.Position) (heard, error) {
	h, err := s.ask(ctx, u.addr, poll{Feed: feed, Whole: true})
	if err != nil {
		return heard{}, err
	}
	if h.at < after {
		return heard{}, errors.Wrap(follow.ErrUnavailable, errBehind.Error())
	}
	h.records, h.skips = s.logs[feed].missing(h), true
	return h, nil
}

func (s *Source) news(h heard) follow.News {
	return follow.News{Changes: s.store.Decode(h.records), At: h.at, Known: h.known}
}
