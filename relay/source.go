package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"junctioncross/follow"
	"junctioncross/link"
	"junctioncross/loglimit"
	"junctioncross/membership"
	"junctioncross/metrics"
	"junctioncross/supervise"
	"junctioncross/timer"
)

const (
	// readTime bounds the reading of a full feed. Each page has its own bound, so a store that is slow is read to the end.
	readTime = 20 * time.Second
	// settledTime is how long an instance that is not the relay of its domain must have followed the store itself to count as
	// direct, since a relay that was lost for a moment may come back.
	settledTime = 3 * time.Second
)

// lateTime is the time since its last answer after which a feed counts as late: longer than a relay holds a poll.
const lateTime = pollHold + 100*time.Millisecond

// feeds is the number of feeds: configuration, servers and quarantine.
const feeds = 3

// Fleet says which instances there are.
type Fleet interface {
	// Members returns the instances that have registration records; it is empty until the records were first read.
	Members() []membership.Instance
	// Records returns the registration records.
	Records() []membership.Record
	// Empty reports whether the records were read and there were none.
	Empty() bool
	// Changed returns a channel that is closed when the records or the key change.
	Changed() <-chan struct{}
	// Instances returns the number of instances.
	Instances() int
	// Counts returns the number of instances of each domain that its relay has counted; NoteCounts records newer numbers.
	Counts() map[string]int
	NoteCounts(counts map[string]int)
	// Key returns the fleet key, by which instances authenticate to each other; it is empty while it is not known.
	Key() []byte
}

// Self identifies this instance and says when relays are used.
type Self struct {
	Name   string
	Domain string
	// Addr is the address for calls of other instances; it is empty if the instance accepts none.
	Addr string
	// RelaysFrom is the number of instances from which relays are used; in a smaller fleet each instance follows the store itself.
	RelaysFrom int
	// ApplyTime is how long after its acceptance a configuration may take to be in force.
	ApplyTime time.Duration
}

// minApplyTime is the shortest ApplyTime that can be met through relays: a relay that no longer gets updates says so after up
// to 2.6 s.
const minApplyTime = 3 * time.Second

// usesRelays reports whether the fleet uses relays; members is the number of instances with registration records, and instances
// the number of all.
func (s Self) usesRelays(members, instances int) bool {
	return members > 0 && max(members, instances) >= s.RelaysFrom && s.ApplyTime >= minApplyTime
}

// Source follows the store, either itself or through a relay; it implements follow.Source.
type Source struct {
	self  Self
	store Store
	fleet Fleet
	peers peers
	clock *timer.Service
	stats *metrics.Registry
	log   *logrus.Logger
	guard *supervise.Supervisor
	logs  [feeds]*feedLog
	// stopped is true once the instance no longer serves other instances.
	stopped atomic.Bool
	epoch   *epoch
	pollers *pollerCounter
	reports SharedReports
	ends    Ends
	loads   Loads
	// loadDue is when load reports are next exchanged by a call of their own, in nanoseconds since begun.
	loadDue atomic.Int64
	begun   time.Time
	// lastWorse is when all waiting polls of the servers feed were last answered because of a silent or slow server or a finding, in
	// nanoseconds since begun.
	lastWorse atomic.Int64
	// push passes findings on to other domains.
	push pusher

	upstreamCache upstreamCache

	mu sync.Mutex
	// reportsSent is the moment up to which this instance has passed on its own reports on servers.
	reportsSent time.Time
	// reportMarks holds the Mark of the last answer of each other instance, by address.
	reportMarks map[string]time.Duration
	// endedEarly is when a poll last ended early, or a relay last answered its waiting polls, because of a finding of this instance.
	endedEarly time.Time
	// breaker decides whether the store is asked while relays refuse.
	breaker storeBreaker
	// backoffs says until when upstreams that failed are not polled, by address.
	backoffs map[string]backoff
	// using holds the upstream that each feed uses, and usingSince since when.
	using      [feeds]upstream
	usingSince [feeds]time.Time
	// answered is when each feed was last answered by an upstream.
	answered [feeds]time.Time
	// directPeers are the instances to which others are referred. referral is the instance to which this one was referred, by
	// feed.
	directPeers directPeers
	referral    [feeds]upstream
	// faultLines limits the rate of the log lines about fields of answers that can't be true, by address and field.
	faultLines loglimit.Limiter
	// random returns numbers that are uniform in [0, 1).
	random func() float64
}

// New returns a Source.
func New(
	self Self, store Store, fleet Fleet, reports SharedReports, ends Ends, loads Loads, links *link.Client,
	clock *timer.Service, stats *metrics.Registry, log *logrus.Logger,
) *Source {
	return &Source{
		self: self, store: store, fleet: fleet, reports: reports, ends: ends, loads: loads, begun: clock.Now(),
		reportMarks: map[string]time.Duration{}, peers: linkPeers{client: links}, clock: clock, stats: stats,
		log: log, guard: supervise.New(clock, stats, log),
		logs: [feeds]*feedLog{newFeedLog(), newFeedLog(), newFeedLog()}, epoch: newEpoch(), pollers: newPollerCounter(clock),
		backoffs: map[string]backoff{}, breaker: storeBreaker{apply: self.ApplyTime}, random: rand.Float64,
	}
}

// Stop makes the instance refuse the polls of others, so that they ask elsewhere at once.
func (s *Source) Stop() {
	s.stopped.Store(true)
	s.stopServing()
}

// stopServing makes the instance refuse the polls of others until it follows the feeds in the store again.
func (s *Source) stopServing() {
	for _, l := range s.logs {
		l.clearDirect()
	}
}

// Direct reports whether the instance follows the store itself: as the relay of its domain, because there are no relays, or
// because it has found none for a while. It is false until the member list is known.
func (s *Source) Direct() bool {
	switch {
	case s.upstreams() == nil:
		return false
	case s.isRelay():
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.usingSince[follow.FeedConfig]
	// Before the first update it is not known which upstream the instance follows. If instances counted as direct until then,
	// all that start together would compete for the leader lock.
	return !since.IsZero() && s.using[follow.FeedConfig].direct() && s.clock.Since(since) >= settledTime
}

// Read implements follow.Source. An instance that starts asks a relay. Later, full feeds are read from the store only, since
// what another instance has may be older than what is known here.
func (s *Source) Read(ctx context.Context, feed follow.Feed) (follow.Updates, error) {
	if at, _ := s.logs[feed].progress(); at == 0 {
		if got, ok := s.readFromRelay(ctx, feed); ok {
			s.logs[feed].reset(got, false)
			return s.followUpdates(feed, got), nil
		}
	}
	sentAt := s.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	records, at, err := s.store.ReadFeed(ctx, feed)
	if err != nil {
		s.storeLost()
		return follow.Updates{}, err
	}
	got := update{records: records, position: at, known: sentAt}
	if held, _ := s.logs[feed].progress(); at < held {
		s.log.WithFields(logrus.Fields{
			"feed": feed.String(), "at": at.Revision(), "held": held.Revision(), "era": at.Era(), "held_era": held.Era(),
		}).Warn("feed read at an earlier position")
	}
	s.epoch.markHealthy()
	s.logs[feed].reset(got, true)
	return s.followUpdates(feed, got), nil
}

// Next implements follow.Source.
func (s *Source) Next(ctx context.Context, feed follow.Feed, after follow.Position) (follow.Updates, error) {
	var last error
	upstreams := s.usableUpstreams(feed)
	for i := 0; i < len(upstreams); i++ {
		u := upstreams[i]
		if u.direct() && !s.mayAskStore(feed) {
			continue
		}
		sentAt := s.clock.Now()
		got, err := s.pollUpstream(ctx, u, feed, after, i > 0 && s.late(feed))
		switch {
		case err == nil:
			s.noteResult(feed, u, sentAt, nil)
			s.logs[feed].append(got, u.direct())
			return s.followUpdates(feed, got), nil
		case errors.Is(err, follow.ErrHistoryGone) || ctx.Err() != nil:
			return follow.Updates{}, err
		case errors.Is(err, errStoreSuspect):
			last = err
			continue
		}
		s.noteResult(feed, u, sentAt, err)
		upstreams = s.insertReferral(upstreams, i+1, feed, err)
		last = err
	}
	if last == nil {
		last = errors.Wrap(follow.ErrUnavailable, "no relay can reach the store")
	}
	return follow.Updates{}, last
}

// late reports whether a feed has had no answer for so long that the next upstream is asked for what it has at once, without
// a wait for updates. While the feed is not late, the next upstream may hold the poll, which limits how often the upstreams
// that failed are asked again: otherwise a relay that the store rejects would ask the store without a pause.
func (s *Source) late(feed follow.Feed) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.Since(s.answered[feed]) > lateTime
}

// pollUpstream asks one upstream for updates of a feed.
func (s *Source) pollUpstream(ctx context.Context, u upstream, feed follow.Feed, after follow.Position, noWait bool) (update, error) {
	if !u.direct() {
		got, err := s.pollForUpdates(ctx, u.addr, poll{Feed: feed, After: after, NoWait: noWait})
		if errors.Is(err, errBehind) {
			return s.catchUp(ctx, u, feed, after)
		}
		return got, err
	}
	got, err := s.watchForUpdates(ctx, feed, after, noWait)
	if err != nil && ctx.Err() == nil && !errors.Is(err, follow.ErrHistoryGone) && !errors.Is(err, errStoreSuspect) {
		s.storeLost()
	}
	return got, err
}

// catchUp gets the full feed from a relay whose history does not reach back to a position, and returns what changed since.
// Instances that start together read the feeds at different moments; without catchUp, all instances whose relay read a feed
// after they did would ask the store.
func (s *Source) catchUp(ctx context.Context, u upstream, feed follow.Feed, after follow.Position) (update, error) {
	got, err := s.pollInstance(ctx, u.addr, poll{Feed: feed, Full: true})
	if err != nil {
		return update{}, err
	}
	if got.position < after {
		return update{}, errors.Wrap(follow.ErrUnavailable, errBehind.Error())
	}
	got.records, got.hasGap = s.logs[feed].diff(got), true
	return got, nil
}

// followUpdates converts a result to follow.Updates.
func (s *Source) followUpdates(feed follow.Feed, u update) follow.Updates {
	return follow.Updates{Changes: s.decode(feed, u.records), At: u.position, AsOf: u.known}
}
