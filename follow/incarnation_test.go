package follow_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/backend"
	"junctioncross/follow"
	"junctioncross/metrics"
	"junctioncross/quarantine"
	"junctioncross/testlog"
	"junctioncross/timer"
)

// born returns what a server says of a start, as written at a revision.
func born(id string, start, revision int64, leaving bool) follow.ServerSeen {
	return follow.ServerSeen{Entry: backend.Entry{
		ID: id, Service: "s", Addr: "127.0.0.1:1", Domain: "d", Slots: 1, Born: start, Leaving: leaving, Revision: revision,
	}}
}

// only returns the one server of service s, or nil.
func only(b *follow.Board) *backend.Server {
	if group := b.Current().Group("s"); group != nil && len(group.Servers()) == 1 {
		return group.Servers()[0]
	}
	return nil
}

// TestAServerThatStartsAgainUnderItsIdIsANewOne lets a server that had said that it leaves crash and come back in place.
func TestAServerThatStartsAgainUnderItsIdIsANewOne(t *testing.T) {
	s := newSource()
	b := start(t, s)
	s.tell(follow.FeedConfig, configured(t, 1))
	s.tell(follow.FeedServers, born("a", 1000, 1, false))
	soon(t, func() bool { return only(b) != nil })
	former := only(b)
	former.Failed(time.Now())
	s.tell(follow.FeedServers, born("a", 1000, 2, true))
	soon(t, former.Leaving)
	s.tell(follow.FeedServers, born("a", 2000, 3, false))
	soon(t, func() bool { return only(b) != former })
	present := only(b)
	require.Equal(t, backend.Incarnation{ID: "a", Born: 2000}, present.Incarnation())
	require.True(t, present.Usable(time.Now()))
	require.Zero(t, present.FailRate())
	require.True(t, former.Ended())
	require.Error(t, former.Over().Err(), "what it ran is lost")
	require.NoError(t, present.Over().Err())
}

// TestALateWordOfAnEarlierStartChangesNothing tells an entry, a word and a report of the start before.
func TestALateWordOfAnEarlierStartChangesNothing(t *testing.T) {
	s := newSource()
	b := start(t, s)
	s.tell(follow.FeedConfig, configured(t, 1))
	s.tell(follow.FeedServers, born("a", 2000, 1, false))
	soon(t, func() bool { return only(b) != nil })
	present := only(b)
	s.tell(follow.FeedServers, born("a", 1000, 2, true))
	s.tell(follow.FeedServers, born("b", 1, 3, false))
	soon(t, func() bool { return servers(b) == 2 })
	require.Contains(t, b.Current().Group("s").Servers(), present)
	require.False(t, present.Leaving())
	b.Hear([]backend.Word{{ID: "a", Born: 1000, Silent: true}}, time.Now().Add(time.Second))
	require.True(t, present.Usable(time.Now()))
	b.Hear([]backend.Word{{ID: "a", Born: 2000, Silent: true}}, time.Now().Add(time.Second))
	require.False(t, present.Usable(time.Now()))
}

// TestAnEntryOfAnotherWriterTakesItsServerOutOfUse lets the entry of one of two servers be overwritten, and written by its server again.
func TestAnEntryOfAnotherWriterTakesItsServerOutOfUse(t *testing.T) {
	s := newSource()
	b, lines := startTold(t, s)
	s.tell(follow.FeedConfig, configured(t, 1))
	s.tell(follow.FeedServers, born("a", 1000, 1, false))
	s.tell(follow.FeedServers, born("b", 1000, 2, false))
	soon(t, func() bool { return servers(b) == 2 })
	known := b.Current().Group("s").Servers()
	unusable := follow.EntryUnusable{ID: "a", Field: "state", Value: `"paused"`, Err: fmt.Errorf("bad")}
	s.tell(follow.FeedServers, unusable)
	soon(t, func() bool { return servers(b) == 1 })
	require.Equal(t, "b", only(b).ID())
	for _, one := range known {
		require.NoError(t, one.Over().Err(), "what it runs goes on")
		require.False(t, one.Gone())
	}
	s.tell(follow.FeedServers, follow.EntryUnusable{ID: "never known", Field: "record", Err: fmt.Errorf("bad")})
	s.tell(follow.FeedServers, born("a", 1000, 4, false))
	soon(t, func() bool { return servers(b) == 2 })
	require.ElementsMatch(t, known, b.Current().Group("s").Servers(), "the same start")
	told := 0
	for _, line := range lines.AllEntries() {
		if line.Message == "entry names no server to use" {
			told++
		}
	}
	require.Equal(t, 2, told)
}

// TestAnEntryOfAServiceThatNobodyNamesTakesItsServerOutOfUse overwrites the entry of a server with one that reads well.
func TestAnEntryOfAServiceThatNobodyNamesTakesItsServerOutOfUse(t *testing.T) {
	s := newSource()
	b := start(t, s)
	s.tell(follow.FeedConfig, configured(t, 1))
	s.tell(follow.FeedServers, born("a", 1000, 1, false))
	soon(t, func() bool { return only(b) != nil })
	known := only(b)
	other := born("a", 1000, 2, false)
	other.Entry.Service = "nonsense"
	s.tell(follow.FeedServers, other)
	soon(t, func() bool { return servers(b) == 0 })
	require.NoError(t, known.Over().Err(), "what it runs goes on")
	s.tell(follow.FeedServers, born("a", 1000, 3, false))
	soon(t, func() bool { return only(b) == known })
}

// step is something that is told of a server.
type step struct {
	what string
	born int64
}

// TestTheNewestStartWins tells entries, bad entries, removals and words of three starts of a server in any order: no older start wins, and
// none is believed of another.
func TestTheNewestStartWins(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			what := rapid.SampledFrom([]string{"entry", "entry", "bad", "gone", "word"}).Draw(r, "what")
			return step{what: what, born: rapid.Int64Range(1, 3).Draw(r, "born")}
		}), 1, 12).Draw(r, "steps")
		wrong := ""
		synctest.Test(t, func(t *testing.T) { wrong = playStarts(t, steps) })
		if wrong != "" {
			r.Fatal(wrong)
		}
	})
}

// playStarts tells the steps, each long after the one before, and returns what is wrong then.
func playStarts(t *testing.T, steps []step) string {
	ctx, stop := context.WithCancel(context.Background())
	s, b := newSource(), follow.NewBoard()
	follow.New(ctx, s, b, quarantine.NewBook(quarantine.Terms{}), timer.NewReal(), metrics.New(), testlog.New(t))
	s.tell(follow.FeedConfig, configured(t, 1))
	newest, there, wrong := int64(0), false, ""
	for n, one := range steps {
		switch one.what {
		case "entry":
			s.tell(follow.FeedServers, born("a", one.born, int64(n+1), false))
			if one.born >= newest {
				newest, there = one.born, true
			}
		case "bad":
			s.tell(follow.FeedServers, follow.EntryUnusable{ID: "a", Field: "state", Err: fmt.Errorf("bad")})
			there = false
		case "gone":
			s.tell(follow.FeedServers, follow.ServerGone{ID: "a"})
			newest, there = 0, false
		case "word":
			b.Hear([]backend.Word{{ID: "a", Born: one.born, Silent: true}}, time.Now())
			if server := only(b); server != nil && server.Usable(time.Now()) != (server.Incarnation().Born != one.born) {
				wrong = fmt.Sprintf("a word on start %d was believed of %d, or not of its own", one.born, server.Incarnation().Born)
			}
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
	}
	server := only(b)
	switch {
	case there != (server != nil):
		wrong = fmt.Sprintf("there: %v, want %v", server != nil, there)
	case there && server.Incarnation().Born != newest:
		wrong = fmt.Sprintf("start %d, want %d", server.Incarnation().Born, newest)
	}
	stop()
	time.Sleep(time.Minute)
	synctest.Wait()
	return wrong
}
