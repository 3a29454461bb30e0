package follow_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/catalog"
	"junctioncross/follow"
)

// TestServersOfARemovedServiceAreFoundByTheirAddresses guards against answers that cannot be reached over other paths since a configuration
// lacks the service of their server.
func TestServersOfARemovedServiceAreFoundByTheirAddresses(t *testing.T) {
	s := newSource()
	b := start(t, s)
	s.add(follow.FeedConfig, config(t, 1))
	entry := serverEntry("a", 0, 1, false)
	s.add(follow.FeedServers, entry)
	eventually(t, func() bool { return onlyServer(b) != nil })
	server := onlyServer(b)
	require.Same(t, server, b.ServerAt(server.Addr()))
	without, err := catalog.New(&catalog.Content{Version: 2})
	require.NoError(t, err)
	s.add(follow.FeedConfig, follow.Configured{Catalog: without})
	eventually(t, func() bool { return b.Current().Catalog().Version() == 2 })
	require.Nil(t, b.Current().Group("s"))
	require.Same(t, server, b.ServerAt(server.Addr()))
	s.add(follow.FeedServers, follow.ServerGone{ID: "a"})
	eventually(t, func() bool { return b.ServerAt(server.Addr()) == nil })
	require.NoError(t, server.Context().Err(), "what it runs goes on")
}

// TestTheLatestServerAtAnAddressCounts has servers take over an address one after the other before the entry of the one before is gone.
func TestTheLatestServerAtAnAddressCounts(t *testing.T) {
	s := newSource()
	b := start(t, s)
	s.add(follow.FeedConfig, config(t, 1))
	for n, id := range []string{"e", "d", "c", "b", "a"} {
		entry := serverEntry(id, 0, int64(n+1), false)
		s.add(follow.FeedServers, entry)
		eventually(t, func() bool { return servers(b) == n+1 })
		require.Equal(t, id, b.ServerAt(entry.Entry.Addr).ID())
		require.Equal(t, id, b.Current().Group("s").ByAddr(entry.Entry.Addr).ID())
	}
	for _, one := range b.Current().Group("s").Servers() {
		require.NoError(t, one.Context().Err(), "the entry of another server says nothing of what this one runs")
		require.False(t, one.Ended())
	}
}
