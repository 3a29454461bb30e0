package follow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/follow"
)

// TestLeaveNoticeAndBackOffSurviveAMissingEntry removes the entry of a server after the server has sent a leave notice
// and asked for no new work for a while, and brings the entry back. Neither holds for another incarnation, nor if
// incarnations cannot be distinguished.
func TestLeaveNoticeAndBackOffSurviveAMissingEntry(t *testing.T) {
	for name, c := range map[string]struct {
		before, after int64
		holds         bool
	}{
		"the same incarnation":              {1000, 1000, true},
		"another incarnation":               {1000, 2000, false},
		"incarnations without a start time": {0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSource()
			b := start(t, s)
			s.add(follow.FeedConfig, config(t, 1))
			s.add(follow.FeedServers, serverEntry("a", c.before, 1, false))
			eventually(t, func() bool { return onlyServer(b) != nil })
			former := onlyServer(b)
			former.NoteLeaveNotice(time.Now())
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
