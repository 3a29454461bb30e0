package follow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/follow"
)

// TestLeaveNoticeAndBackOffSurviveAMissingEntry lets the entry of a server vanish and come back after the server has said that it leaves and
// that it wants nothing for a while. Another start of it has said nothing, and neither has one that cannot be told from the former.
func TestLeaveNoticeAndBackOffSurviveAMissingEntry(t *testing.T) {
	for name, c := range map[string]struct {
		before, after int64
		holds         bool
	}{
		"the same start":              {1000, 1000, true},
		"another start":               {1000, 2000, false},
		"starts that tell no moments": {0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSource()
			b := start(t, s)
			s.add(follow.FeedConfig, config(t, 1))
			s.add(follow.FeedServers, serverEntry("a", c.before, 1, false))
			eventually(t, func() bool { return onlyServer(b) != nil })
			former := onlyServer(b)
			former.SayFarewell(time.Now())
			former.BackOff(time.Now().Add(time.Hour))
			s.add(follow.FeedServers, follow.ServerGone{ID: "a"})
			eventually(t, func() bool { return onlyServer(b) == nil })
			s.add(follow.FeedServers, serverEntry("a", c.after, 3, false))
			eventually(t, func() bool { return onlyServer(b) != nil })
			present := onlyServer(b)
			require.Equal(t, c.holds, present.Leaving())
			require.Equal(t, c.holds, present.BackedOff(time.Now()))
			require.Equal(t, backend.Incarnation{ID: "a", Born: c.after}, present.Incarnation())
		})
	}
}
