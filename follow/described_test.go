package follow_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/follow"
)

// TestOnlyALaterStartEndsWhatAServerRuns guards against answers that end because their server describes itself anew.
func TestOnlyALaterStartEndsWhatAServerRuns(t *testing.T) {
	for name, c := range map[string]struct {
		born   int64
		change func(e *backend.Entry)
		// replaced is true if the former server is known to have ended, same if it is still in use.
		replaced, same bool
	}{
		"slots":              {1000, func(e *backend.Entry) { e.Slots = 9 }, false, true},
		"domain":             {1000, func(e *backend.Entry) { e.Domain = "e" }, false, true},
		"kind":               {1000, func(e *backend.Entry) { e.Kind = "k" }, false, true},
		"slots, no start":    {0, func(e *backend.Entry) { e.Slots = 9 }, false, true},
		"address":            {1000, func(e *backend.Entry) { e.Addr = "127.0.0.1:2" }, false, false},
		"address, no start":  {0, func(e *backend.Entry) { e.Addr = "127.0.0.1:2" }, false, false},
		"start not said":     {1000, func(e *backend.Entry) { e.Born = 0 }, false, false},
		"start said at last": {0, func(e *backend.Entry) { e.Born = 1000 }, false, false},
		"later start":        {1000, func(e *backend.Entry) { e.Born = 2000 }, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSource()
			b := start(t, s)
			s.add(follow.FeedConfig, config(t, 1))
			first := serverEntry("a", c.born, 1, false)
			s.add(follow.FeedServers, first)
			eventually(t, func() bool { return onlyServer(b) != nil })
			former := onlyServer(b)
			c.change(&first.Entry)
			first.Entry.Revision = 2
			s.add(follow.FeedServers, first)
			eventually(t, func() bool { return describes(onlyServer(b), first.Entry) })
			present := onlyServer(b)
			require.Equal(t, c.replaced, former.Context().Err() != nil, "its connections are closed")
			require.Equal(t, c.replaced, former.Ended())
			require.Equal(t, c.same, present == former)
			require.Equal(t, !c.same, former.Gone())
		})
	}
}

// describes reports whether a server is what an entry says.
func describes(s *backend.Server, e backend.Entry) bool {
	return s != nil && s.Incarnation() == e.Incarnation() && s.Addr() == e.Addr && s.Domain() == e.Domain && s.Kind() == e.Kind && s.Slots() == e.Slots
}

// TestAServerThatMovesToAnotherServiceKeepsWhatItRuns guards against answers that end because their server serves another service from now on.
func TestAServerThatMovesToAnotherServiceKeepsWhatItRuns(t *testing.T) {
	s := newSource()
	b := start(t, s)
	c, err := catalog.New(&catalog.Content{Version: 1, Services: []catalog.Service{{Name: "s"}, {Name: "t"}}})
	require.NoError(t, err)
	s.add(follow.FeedConfig, follow.Configured{Catalog: c})
	entry := serverEntry("a", 0, 1, false)
	s.add(follow.FeedServers, entry)
	eventually(t, func() bool { return onlyServer(b) != nil })
	former := onlyServer(b)
	entry.Entry.Service, entry.Entry.Revision = "t", 2
	s.add(follow.FeedServers, entry)
	eventually(t, func() bool { return len(b.Current().Group("t").Servers()) == 1 })
	require.Empty(t, b.Current().Group("s").Servers())
	require.NoError(t, former.Context().Err())
	require.False(t, former.Ended())
	require.Same(t, former, b.Current().Group("t").Servers()[0])
}
