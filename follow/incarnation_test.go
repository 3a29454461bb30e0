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

// serverEntry returns the entry of a server that was started at born, as written at a revision.
func serverEntry(id string, born, revision int64, leaving bool) follow.ServerSeen {
	return follow.ServerSeen{Entry: backend.Entry{
		ID: id, Service: "s", Addr: "127.0.0.1:1", Domain: "d", Slots: 1, Born: born, Leaving: leaving, Revision: revision,
	}}
}

// onlyServer returns the only server of service s, or nil.
func onlyServer(b *follow.FleetView) *backend.Server {
	if group := b.Current().Group("s"); group != nil && len(group.Servers()) == 1 {
		return group.Servers()[0]
	}
	return nil
}

// TestARestartedServerReplacesItsFormerIncarnation lets a server crash after its leave notice and restart under the same
// id.
func TestARestartedServerReplacesItsFormerIncarnation(t *testing.T) {
	s := newSource()
	b := start(t, s)
	s.add(follow.FeedConfig, config(t, 1))
	s.add(follow.FeedServers, serverEntry("a", 1000, 1, false))
	eventually(t, func() bool { return onlyServer(b) != nil })
	former := onlyServer(b)
	former.Failed(time.Now())
	s.add(follow.FeedServers, serverEntry("a", 1000, 2, true))
	eventually(t, former.Leaving)
	s.add(follow.FeedServers, serverEntry("a", 2000, 3, false))
	eventually(t, func() bool { return onlyServer(b) != former })
	present := onlyServer(b)
	require.Equal(t, backend.Incarnation{ID: "a", Born: 2000}, present.Incarnation())
	require.True(t, present.Usable(time.Now()))
	require.Zero(t, present.FailRate())
	require.True(t, former.Ended())
	require.Error(t, former.Context().Err(), "what it ran is lost")
	require.NoError(t, present.Context().Err())
}

// TestLateEntriesAndReportsOfAnEarlierIncarnationAreIgnored sends a leave notice and a report of the previous
// incarnation after the present one has started.
func TestLateEntriesAndReportsOfAnEarlierIncarnationAreIgnored(t *testing.T) {
	s := newSource()
	b := start(t, s)
	s.add(follow.FeedConfig, config(t, 1))
	s.add(follow.FeedServers, serverEntry("a", 2000, 1, false))
	eventually(t, func() bool { return onlyServer(b) != nil })
	present := onlyServer(b)
	s.add(follow.FeedServers, serverEntry("a", 1000, 2, true))
	s.add(follow.FeedServers, serverEntry("b", 1, 3, false))
	eventually(t, func() bool { return servers(b) == 2 })
	require.Contains(t, b.Current().Group("s").Servers(), present)
	require.False(t, present.Leaving())
	b.ApplySharedReports([]backend.SharedReport{{ID: "a", Born: 1000, Silent: true}}, time.Now().Add(time.Second))
	require.True(t, present.Usable(time.Now()))
	b.ApplySharedReports([]backend.SharedReport{{ID: "a", Born: 2000, Silent: true}}, time.Now().Add(time.Second))
	require.False(t, present.Usable(time.Now()))
}

// TestAnUnusableEntryTakesItsServerOutOfUse has another writer overwrite the entry of one of two servers, until the
// server writes it again.
func TestAnUnusableEntryTakesItsServerOutOfUse(t *testing.T) {
	s := newSource()
	b, lines := startLogged(t, s)
	s.add(follow.FeedConfig, config(t, 1))
	s.add(follow.FeedServers, serverEntry("a", 1000, 1, false))
	s.add(follow.FeedServers, serverEntry("b", 1000, 2, false))
	eventually(t, func() bool { return servers(b) == 2 })
	known := b.Current().Group("s").Servers()
	unusable := follow.EntryUnusable{ID: "a", Field: "state", Value: `"paused"`, Err: fmt.Errorf("bad")}
	s.add(follow.FeedServers, unusable)
	eventually(t, func() bool { return servers(b) == 1 })
	require.Equal(t, "b", onlyServer(b).ID())
	for _, one := range known {
		require.NoError(t, one.Context().Err(), "the requests that it runs go on")
		require.False(t, one.Gone())
	}
	s.add(follow.FeedServers, follow.EntryUnusable{ID: "never known", Field: "record", Err: fmt.Errorf("bad")})
	s.add(follow.FeedServers, serverEntry("a", 1000, 4, false))
	eventually(t, func() bool { return servers(b) == 2 })
	require.ElementsMatch(t, known, b.Current().Group("s").Servers(), "the same incarnations")
	logged := 0
	for _, line := range lines.AllEntries() {
		if line.Message == "entry names no server to use" {
			logged++
		}
	}
	require.Equal(t, 2, logged)
}

// TestAnEntryOfAnUnknownServiceTakesItsServerOutOfUse has another writer overwrite the entry of a server with one that
// is well-formed, but names a service that is not configured.
func TestAnEntryOfAnUnknownServiceTakesItsServerOutOfUse(t *testing.T) {
	s := newSource()
	b := start(t, s)
	s.add(follow.FeedConfig, config(t, 1))
	s.add(follow.FeedServers, serverEntry("a", 1000, 1, false))
	eventually(t, func() bool { return onlyServer(b) != nil })
	known := onlyServer(b)
	other := serverEntry("a", 1000, 2, false)
	other.Entry.Service = "nonsense"
	s.add(follow.FeedServers, other)
	eventually(t, func() bool { return servers(b) == 0 })
	require.NoError(t, known.Context().Err(), "the requests that it runs go on")
	s.add(follow.FeedServers, serverEntry("a", 1000, 3, false))
	eventually(t, func() bool { return onlyServer(b) == known })
}

// step is an event of one incarnation of a server: an entry, an unusable entry, a removal or a report.
type step struct {
	kind string
	born int64
}

// TestTheNewestIncarnationWins sends entries, unusable entries, removals and reports of three incarnations of a server
// in any order: no older incarnation replaces a newer one, and no report is applied to another incarnation.
func TestTheNewestIncarnationWins(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) step {
			what := rapid.SampledFrom([]string{"entry", "entry", "bad", "gone", "word"}).Draw(r, "what")
			return step{kind: what, born: rapid.Int64Range(1, 3).Draw(r, "born")}
		}), 1, 12).Draw(r, "steps")
		wrong := ""
		synctest.Test(t, func(t *testing.T) { wrong = runSteps(t, steps) })
		if wrong != "" {
			r.Fatal(wrong)
		}
	})
}

// runSteps applies the steps, each long after the one before, and returns a description of what is wrong afterwards, or
// an empty string.
func runSteps(t *testing.T, steps []step) string {
	ctx, stop := context.WithCancel(context.Background())
	s, b := newSource(), follow.NewFleetView()
	follow.New(ctx, s, b, quarantine.NewBook(quarantine.Settings{}), timer.NewReal(), metrics.New(), testlog.New(t))
	s.add(follow.FeedConfig, config(t, 1))
	newestBorn, want, wrong := int64(0), false, ""
	for n, one := range steps {
		switch one.kind {
		case "entry":
			s.add(follow.FeedServers, serverEntry("a", one.born, int64(n+1), false))
			if one.born >= newestBorn {
				newestBorn, want = one.born, true
			}
		case "bad":
			s.add(follow.FeedServers, follow.EntryUnusable{ID: "a", Field: "state", Err: fmt.Errorf("bad")})
			want = false
		case "gone":
			s.add(follow.FeedServers, follow.ServerGone{ID: "a"})
			newestBorn, want = 0, false
		case "word":
			b.ApplySharedReports([]backend.SharedReport{{ID: "a", Born: one.born, Silent: true}}, time.Now())
			if server := onlyServer(b); server != nil && server.Usable(time.Now()) != (server.Incarnation().Born != one.born) {
				wrong = fmt.Sprintf("a report on incarnation %d was applied to incarnation %d, or not to its own", one.born, server.Incarnation().Born)
			}
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
	}
	server := onlyServer(b)
	switch {
	case want != (server != nil):
		wrong = fmt.Sprintf("present: %v, want %v", server != nil, want)
	case want && server.Incarnation().Born != newestBorn:
		wrong = fmt.Sprintf("incarnation %d, want %d", server.Incarnation().Born, newestBorn)
	}
	stop()
	time.Sleep(time.Minute)
	synctest.Wait()
	return wrong
}
