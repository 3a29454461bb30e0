package relay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"junctioncross/follow"
	"junctioncross/membership"
	"junctioncross/metrics"
	"junctioncross/timer"
)

// countingStore is a Store that is down or answers at once, and counts its calls.
type countingStore struct {
	Store
	down  bool
	calls int
}

// Ping implements Store.
func (c *countingStore) Ping(context.Context) error {
	c.calls++
	if c.down {
		return follow.ErrUnavailable
	}
	return nil
}

// WatchFeed implements Store.
func (c *countingStore) WatchFeed(_ context.Context, _ follow.Feed, after follow.Position, _ time.Duration) ([]Record, follow.Position, error) {
	c.calls++
	if c.down {
		return nil, 0, follow.ErrUnavailable
	}
	return nil, after, nil
}

// Decode implements Store.
func (*countingStore) Decode([]Record) []follow.Change { return nil }

// TestEndsFeedDoesNotPollASuspectStore stops and restarts the store. Both are detected by the poll of the configuration; the
// feed of ends must not call a suspect store, and skipping that call must not count as a failure of the store.
func TestEndsFeedDoesNotPollASuspectStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &countingStore{}
		log := logrus.New()
		log.SetLevel(logrus.PanicLevel)
		one := staticFleet{membership.Instance{Name: "self", Domain: "east"}}
		self := Self{Name: "self", Domain: "east", RelaysFrom: 24, ApplyTime: applyDeadline}
		s := New(self, store, one, nil, noEnds{}, nil, nil, timer.NewReal(), metrics.New(), log)
		next := func(feed follow.Feed) error {
			_, err := s.Next(t.Context(), feed, 1)
			return err
		}
		require.NoError(t, next(follow.FeedQuarantine))
		store.down = true
		require.Error(t, next(follow.FeedConfig))
		before := store.calls
		begun := time.Now()
		err := next(follow.FeedQuarantine)
		require.True(t, errors.Is(err, follow.ErrUnavailable))
		require.Equal(t, before, store.calls)
		require.Equal(t, suspectWait, time.Since(begun))
		store.down = false
		waiting := make(chan error, 1)
		go func() { waiting <- next(follow.FeedQuarantine) }()
		synctest.Wait()
		require.NoError(t, next(follow.FeedConfig))
		require.NoError(t, <-waiting, "the waiting call continues as soon as the store answers")
	})
}
