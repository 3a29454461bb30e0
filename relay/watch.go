package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"junctioncross/follow"
)

const (
	// answerSlack is how long after the end of its wait a watch in the store may be answered.
	answerSlack = 1200 * time.Millisecond
	// configWait is how long a watch on the configuration waits for news. An answer confirms that no key was taken away; the
	// wait leaves more than a second of the time for which confirmed keys are accepted, also when a relay adds its own.
	configWait = 1200 * time.Millisecond
	// serversWait is the same for the servers, whose news confirm nothing that is needed often.
	serversWait = 8 * time.Second
	// quarantineWait is the same for ends under requests, of which there are none on most days, so that shorter waits were calls for
	// nothing. That the connection has fallen silent shows by its keep-alive, and that the store has by the
	// question for the configuration, both in the time in which all must have heard of an end.
	quarantineWait = 25 * time.Second
	// doubtWait is how long a watch on the servers waits while the store is in doubt, so that its return is noticed.
	doubtWait = time.Second
	// suspectTimeout is how long a question may take that does not wait for news, as one for the configuration while the store is in doubt:
	// twice what a slow store takes, since every moment counts until the keys are confirmed again.
	suspectTimeout = 700 * time.Millisecond
	// minWait is the shortest that the store accepts.
	minWait = time.Millisecond
)

// errStoreSuspect means that the store was not asked, since it has not answered the questions for other feeds yet; it says nothing new of it.
var errStoreSuspect = errors.Wrap(follow.ErrUnavailable, "relay: store in doubt")

// watchStore asks the store; the call ends early when another call finds that the store does not answer.
func (s *Source) watchStore(ctx context.Context, feed follow.Feed, after follow.Position, noWait bool) (heard, error) {
	if feed == follow.FeedQuarantine && !s.awaitHealthy(ctx) {
		return heard{}, errStoreSuspect
	}
	epoch, suspect := s.epoch.current()
	wait := s.watchWait(feed, suspect, noWait)
	limit := wait + answerSlack
	if suspect || s.probing() {
		if err := s.reachStore(ctx); err != nil {
			return heard{}, err
		}
	}
	if noWait || suspect && feed == follow.FeedConfig {
		limit = suspectTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	defer context.AfterFunc(epoch, cancel)()
	asked := s.clock.Now()
	records, at, err := s.store.WatchFeed(ctx, feed, after, wait)
	if err != nil {
		return heard{}, err
	}
	s.epoch.markHealthy()
	known := asked
	if len(records) == 0 && s.clock.Since(asked) >= wait {
		// The store held the call for the whole wait and had nothing to say.
		known = asked.Add(wait)
	}
	return heard{records: records, at: max(at, after), known: known}, nil
}

// watchWait returns how long a watch waits for news. News tell what was so when they were asked for: a watch on the configuration that follows
// them is short enough to confirm what is known within freshTime, or the relay would refuse its domain for up to 0.6 s after each of
// them.
func (s *Source) watchWait(feed follow.Feed, suspect, noWait bool) time.Duration {
	switch {
	case noWait, suspect && feed == follow.FeedConfig:
		return minWait
	case suspect:
		return doubtWait
	case feed == follow.FeedServers:
		return serversWait
	case feed == follow.FeedQuarantine:
		if !s.logs[feed].followed() {
			// One that has just found the store again can serve others at once.
			return minWait
		}
		if !s.relay() {
			// The others hear the configuration from a relay, whose questions do not find out that the store has fallen silent.
			return doubtWait
		}
		return quarantineWait
	default:
		_, known := s.logs[follow.FeedConfig].reached()
		return max(configWait-s.clock.Since(known), minWait)
	}
}

// awaitHealthy waits a while for a store in doubt to answer the questions for other feeds, and reports whether it has. The feed of ends makes
// no calls of its own to find that out.
func (s *Source) awaitHealthy(ctx context.Context) bool {
	healthy := s.epoch.whenHealthy()
	if healthy == nil {
		return true
	}
	select {
	case <-healthy:
		return true
	case <-s.clock.After(doubtWait):
	case <-ctx.Done():
	}
	return false
}

// reachStore finds out whether the store answers before it is asked for news, at a tenth of the price: in an outage of
// a large fleet most calls are such questions.
func (s *Source) reachStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	return s.store.Reach(ctx)
}

// probing reports whether the store is asked although it is spared.
func (s *Source) probing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.breaker.probing
}

// storeLost ends the calls that wait for the store, and the service to other instances.
func (s *Source) storeLost() {
	s.epoch.markSuspect()
	s.stopServing()
}
