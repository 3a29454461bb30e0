package relay_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"junctioncross/census"
	"junctioncross/follow"
	"junctioncross/keys"
	"junctioncross/link"
	"junctioncross/metrics"
	"junctioncross/ports"
	"junctioncross/relay"
	"junctioncross/timer"
)

// withLostRelays returns an instance of a domain whose relay and stand-in have records and do not run, and the clock that it goes by.
func withLostRelays(t *testing.T, s relay.Store) (*relay.Source, *clockwork.FakeClock) {
	key, err := keys.NewFleetKey(time.Now())
	require.NoError(t, err)
	addrs, err := ports.Free(3)
	require.NoError(t, err)
	f := fleet{members: []census.Instance{
		{Name: "self", Domain: "east", Addr: addrs[0], Power: 1},
		{Name: "relay", Domain: "east", Addr: addrs[1], Power: 3},
		{Name: "stand-in", Domain: "east", Addr: addrs[2], Power: 2},
	}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	fake, stats := clockwork.NewFakeClock(), metrics.New()
	links := link.NewClient(keys.NewFleetKeyFrom(func() []byte { return key }), stats)
	t.Cleanup(links.Close)
	self := relay.Self{Name: "self", Domain: "east", From: 2}
	return relay.New(self, s, f, links, timer.New(fake), stats, log), fake
}

// TestOneThatStartsDoesNotWaitLongForLostRelays starts an instance whose relay and stand-in are gone: it serves nobody until it has
// asked them in vain. The clock moves only while the instance waits.
func TestOneThatStartsDoesNotWaitLongForLostRelays(t *testing.T) {
	const (
		step    = 50 * time.Millisecond
		longest = 800 * time.Millisecond
	)
	s := newStore()
	one, fake := withLostRelays(t, view{store: s, caller: "self"})
	begun := fake.Now()
	ctx, done := context.WithCancel(t.Context())
	go func() {
		defer done()
		_, err := one.Read(t.Context(), follow.FeedServers)
		assert.NoError(t, err)
	}()
	for fake.BlockUntilContext(ctx, 1) == nil {
		fake.Advance(step)
	}
	require.LessOrEqual(t, fake.Since(begun), longest)
	require.Equal(t, 1, s.count("self"))
}
