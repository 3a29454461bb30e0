package relay_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"junctioncross/demand"
	"junctioncross/follow"
	"junctioncross/keys"
	"junctioncross/link"
	"junctioncross/membership"
	"junctioncross/metrics"
	"junctioncross/relay"
	"junctioncross/timer"
)

// rejectingStore is a relay.Store that rejects each call for updates.
type rejectingStore struct{ view }

// Ping implements relay.Store.
func (t rejectingStore) Ping(context.Context) error {
	t.recordCall()
	return follow.ErrUnavailable
}

// WatchFeed implements relay.Store.
func (t rejectingStore) WatchFeed(
	context.Context, follow.Feed, follow.Position, time.Duration,
) ([]relay.Record, follow.Position, error) {
	t.recordCall()
	return nil, 0, follow.ErrUnavailable
}

// TestARelayAsksTheStoreOnEachPollAfterAFailure uses a store that rejects the relay of a domain, whose control goroutine
// pauses after each failure. A second pause in the relay would delay the domain's updates by up to 0.8 s once the store is
// back. The relay of the other domain has no address that can be dialed.
func TestARelayAsksTheStoreOnEachPollAfterAFailure(t *testing.T) {
	key, err := keys.NewFleetKey(time.Now())
	require.NoError(t, err)
	trust := keys.NewFleetKeyFrom(func() []byte { return key })
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := fleet{key: key, members: []membership.Instance{
		{Name: "self", Domain: "east", Addr: "127.0.0.1:1"}, {Name: "other", Domain: "west", Addr: "unreachable"},
	}}
	links := link.NewClient(trust, metrics.New())
	t.Cleanup(links.Close)
	s := newStore()
	self := relay.Self{Name: "self", Domain: "east", RelaysFrom: 2, ApplyTime: 3 * time.Second}
	clock := timer.New(clockwork.NewFakeClock())
	store := rejectingStore{view{store: s, caller: "self"}}
	one := relay.New(self, store, f, follow.NewFleetView(), noEnds{}, demand.NewBook("east"), links, clock, metrics.New(), log)
	for n := range 4 {
		_, err := one.Next(t.Context(), follow.FeedServers, 1)
		require.ErrorIs(t, err, follow.ErrUnavailable)
		require.Equal(t, n+1, s.count("self"))
	}
}
