package follow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/follow"
)

// TestAServerWhoseEntryIsBackIsTheOneThatItWas guards against streams that may go on at no server, since their attempts are used up by one
// that has another name to them than in the list of servers.
func TestAServerWhoseEntryIsBackIsTheOneThatItWas(t *testing.T) {
	for name, born := range map[string]int64{"start said": 1000, "start not said": 0} {
		t.Run(name, func(t *testing.T) {
			s := newSource()
			b := start(t, s)
			s.add(follow.FeedConfig, config(t, 1))
			s.add(follow.FeedServers, serverEntry("a", born, 1, false))
			eventually(t, func() bool { return onlyServer(b) != nil })
			server := onlyServer(b)
			s.add(follow.FeedServers, follow.ServerGone{ID: "a"})
			eventually(t, func() bool { return onlyServer(b) == nil })
			require.NoError(t, server.Context().Err(), "what it runs goes on")
			require.False(t, server.Ended())
			s.add(follow.FeedServers, serverEntry("a", born, 3, false))
			eventually(t, func() bool { return onlyServer(b) != nil })
			require.Same(t, server, onlyServer(b))
			require.True(t, server.Usable(time.Now()))
			require.Zero(t, server.LeavingFor(time.Now()))
		})
	}
}

// TestAServerThatIsGoneInALostHistoryKeepsWhatItRuns removes a server and adds it anew while the store forgets its history.
func TestAServerThatIsGoneInALostHistoryKeepsWhatItRuns(t *testing.T) {
	s := newSource()
	b := start(t, s)
	s.add(follow.FeedConfig, config(t, 1))
	s.add(follow.FeedServers, serverEntry("a", 0, 1, false))
	eventually(t, func() bool { return onlyServer(b) != nil })
	server := onlyServer(b)
	s.mu.Lock()
	delete(s.servers, "a")
	s.historyGone = true
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	eventually(t, func() bool { return onlyServer(b) == nil })
	require.NoError(t, server.Context().Err())
	require.False(t, server.Ended())
	s.add(follow.FeedServers, serverEntry("a", 0, 3, false))
	eventually(t, func() bool { return onlyServer(b) != nil })
	require.Same(t, server, onlyServer(b))
}

// TestARestartedServerIsNotTheOneThatItWas has the entry of a server vanish and another start of it write the next one.
func TestARestartedServerIsNotTheOneThatItWas(t *testing.T) {
	s := newSource()
	b := start(t, s)
	s.add(follow.FeedConfig, config(t, 1))
	s.add(follow.FeedServers, serverEntry("a", 1000, 1, false))
	eventually(t, func() bool { return onlyServer(b) != nil })
	server := onlyServer(b)
	s.add(follow.FeedServers, follow.ServerGone{ID: "a"})
	eventually(t, func() bool { return onlyServer(b) == nil })
	s.add(follow.FeedServers, serverEntry("a", 2000, 3, false))
	eventually(t, func() bool { return onlyServer(b) != nil })
	require.NotSame(t, server, onlyServer(b))
	require.True(t, server.Gone())
}
