package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"junctioncross/follow"
)

const (
	// answerSlack is how long after the end of its wait the store may still answer a watch.
	answerSlack = 1200 * time.Millisecond
	// configWait is how long a watch on the configuration waits for updates. An answer confirms that no key was revoked. The
	// wait leaves more than a second of the time for which confirmed keys are accepted, even when a relay adds its own wait.
	configWait = 1200 * time.Millisecond
	// serversWait is how long a watch on the servers waits for updates. It is longer than configWait, since the servers need
	// no frequent confirmation.
	serversWait = 8 * time.Second
	// quarantineWait is how long a watch on the quarantine waits for updates. On most days there are none, so shorter waits
	// would only add calls. A dead connection is noticed by its keep-alive, and a silent store by the watch on the
	// configuration; both are noticed within the time in which all instances must learn that a server terminated under a
	// request.
	quarantineWait = 25 * time.Second
	// suspectWait is how long a watch on the servers or the quarantine waits while the store is suspect, so that its recovery is
	// noticed soon.
	suspectWait = time.Second
	// suspectTimeout bounds a call to the store that does not wait for updates, such as one for the configuration while the
	// store is suspect. It is twice what a slow store takes; a longer timeout would delay the moment at which the keys are
	// confirmed again.
	suspectTimeout = 700 * time.Millisecond
	// minWait is the shortest wait that the store accepts.
	minWait = time.Millisecond
)

// errStoreSuspect means that the store was not asked, since it has not yet answered the calls for other feeds; it says
// nothing new about the store.
var errStoreSuspect = errors.Wrap(follow.ErrUnavailable, "relay: store suspect")

// watchStore asks the store for updates. The call ends early when another call finds that the store does not answer.
func (s *Source) watchStore(ctx context.Context, feed follow.Feed, after follow.Position, noWait bool) (update, error) {
	if feed == follow.FeedQuarantine && !s.awaitHealthy(ctx) {
		return update{}, errStoreSuspect
	}
	epoch, suspect := s.epoch.current()
	wait := s.watchWait(feed, suspect, noWait)
	limit := wait + answerSlack
	if suspect || s.probing() {
		if err := s.pingStore(ctx); err != nil {
			return update{}, err
		}
	}
	if noWait || suspect && feed == follow.FeedConfig {
		limit = suspectTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	defer context.AfterFunc(epoch, cancel)()
	sentAt := s.clock.Now()
	records, at, err := s.store.WatchFeed(ctx, feed, after, wait)
	if err != nil {
		return update{}, err
	}
	s.epoch.markHealthy()
	known := sentAt
	if len(records) == 0 && s.clock.Since(sentAt) >= wait {
		// The store held the call for the whole wait and had no updates.
		known = sentAt.Add(wait)
	}
	return update{records: records, position: max(at, after), known: known}, nil
}

// watchWait returns how long a watch waits for updates. An answer with updates confirms only the state at the time at which
// it was asked for. The next watch on the configuration is therefore short enough to confirm the state again within
// freshTime; with a full wait the relay would refuse to serve its domain for up to 0.6 s after each update.
func (s *Source) watchWait(feed follow.Feed, suspect, noWait bool) time.Duration {
	switch {
	case noWait, suspect && feed == follow.FeedConfig:
		return minWait
	case suspect:
		return suspectWait
	case feed == follow.FeedServers:
		return serversWait
	case feed == follow.FeedQuarantine:
		if !s.logs[feed].isDirect() {
			// An instance that has just found the store again can serve others at once.
			return minWait
		}
		if !s.isRelay() {
			// The others get the configuration from a relay, and polls to a relay do not reveal that the store has fallen
			// silent.
			return suspectWait
		}
		return quarantineWait
	default:
		_, known := s.logs[follow.FeedConfig].progress()
		return max(configWait-s.clock.Since(known), minWait)
	}
}

// awaitHealthy waits for a suspect store to answer the calls for other feeds, as long as a watch on a suspect store takes,
// and reports whether it has answered. The quarantine feed makes no calls of its own to find that out.
func (s *Source) awaitHealthy(ctx context.Context) bool {
	healthy := s.epoch.whenHealthy()
	if healthy == nil {
		return true
	}
	select {
	case <-healthy:
		return true
	case <-s.clock.After(suspectWait):
	case <-ctx.Done():
	}
	return false
}

// pingStore checks that the store answers before it is asked for updates, at a tenth of the cost of such a call: in an
// outage of a large fleet most calls to the store are checks.
func (s *Source) pingStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	return s.store.Ping(ctx)
}

// probing reports whether the call is a probe, which the breaker allows although it is open.
func (s *Source) probing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker.probing
}

// storeLost cancels the calls that wait for the store, and stops the service to other instances.
func (s *Source) storeLost() {
	s.epoch.markSuspect()
	s.stopServing()
}
