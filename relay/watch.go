package relay

import (
	"context"
	"time"

	"junctioncross/follow"
)

const (
	// answerTime is how long after the end of its wait a watch in the store may be answered.
	answerTime = 1200 * time.Millisecond
	// configWait is how long a watch on the configuration waits for news. An answer confirms that no key was taken away; the
	// wait leaves more than a second of the time for which confirmed keys are accepted, also when a relay adds its own.
	configWait = 1200 * time.Millisecond
	// serversWait is the same for the other feeds, whose news confirm nothing that is needed often.
	serversWait = 8 * time.Second
	// doubtWait is how long a watch on the servers waits while the store is in doubt, so that its return is noticed.
	doubtWait = time.Second
	// doubtAnswer is how long a question may take that does not wait for news, as one for the configuration while the store is in doubt:
	// twice what a slow store takes, since every moment counts until the keys are confirmed again.
	doubtAnswer = 700 * time.Millisecond
	// hurriedWait is the shortest that the store accepts.
	hurriedWait = time.Millisecond
)

// watch asks the store; the call ends early when another call finds that the store does not answer.
func (s *Source) watch(ctx context.Context, feed follow.Feed, after follow.Position, hurry bool) (heard, error) {
	epoch, doubt := s.epoch.current()
	wait := s.waitOf(feed, doubt, hurry)
	limit := wait + answerTime
	if doubt || s.probing() {
		if err := s.reachStore(ctx); err != nil {
			return heard{}, err
		}
	}
	if hurry || doubt && feed == follow.FeedConfig {
		limit = doubtAnswer
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
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

// waitOf returns how long a watch waits for news. News tell what was so when they were asked for: a watch on the configuration that follows
// them is short enough to confirm what is known within freshTime, or the relay would refuse its domain for up to 0.6 s after each of
// them.
func (s *Source) waitOf(feed follow.Feed, doubt, hurry bool) time.Duration {
	switch {
	case hurry, doubt && feed == follow.FeedConfig:
		return hurriedWait
	case doubt:
		return doubtWait
	case feed != follow.FeedConfig:
		return serversWait
	default:
		_, known := s.logs[follow.FeedConfig].reached()
		return max(configWait-s.clock.Since(known), hurriedWait)
	}
}

// reachStore finds out whether the store answers before it is asked for news: an outage of 8 s in which 290 instances asked for them
// once a second or two cost 1,300 calls.
func (s *Source) reachStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, doubtAnswer)
	defer cancel()
	return s.store.Reach(ctx)
}

// probing reports whether the store is asked although it is spared.
func (s *Source) probing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sparing.probing
}

// lost ends the calls that wait for the store, and the service to other instances.
func (s *Source) lost() {
	s.epoch.doubt()
	s.refuse()
}
