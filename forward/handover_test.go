package forward

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/front"
	"junctioncross/retry"
)

// minLeaveNotice is the shortest notice that servers give before they end.
const minLeaveNotice = 2 * time.Second

// connected returns a stream under way along a path, with a connection to its first server, and that connection.
func connected(t *testing.T, h *Handler, g *backend.Group, id string, path ...int) (*inflight, net.Conn) {
	f := newActiveStream(h, g, id, 0, path...)
	ours, theirs := net.Pipe()
	t.Cleanup(func() { _ = theirs.Close() })
	f.conn = &backend.Conn{Conn: ours}
	return f, ours
}

func isOpen(c net.Conn) bool { return c.SetDeadline(time.Time{}) == nil }

// sendLeaveNotice has a server send its leave notice at the present time.
func sendLeaveNotice(s *backend.Server, clock *clockwork.FakeClock) {
	announceLeaving(s)
	s.NoteLeaving(clock.Now())
}

// TestAStreamIsHandedOverBeforeItsFirstServerEnds has the first server of a stream leave, with and without notice.
func TestAStreamIsHandedOverBeforeItsFirstServerEnds(t *testing.T) {
	for _, announced := range []bool{true, false} {
		g := twoCopies()
		h, clock := testHandler(t, newFakeEngineClient(g))
		f, conn := connected(t, h, g, "one", 0, 1)
		first := g.Servers()[0]
		group := g
		if announced {
			sendLeaveNotice(first, clock)
		} else {
			first.NoteLeaving(clock.Now())
			first.Remove()
			group = backend.NewGroup(g.Service(), g.Servers()[1:])
		}
		backlog := evacuationBacklog{}
		for range evacuationTime / watchPeriod {
			clock.Advance(watchPeriod)
			h.watch.evacuate(t.Context(), backlog, func(*inflight) *backend.Group { return group })
		}
		require.False(t, isOpen(conn), "announced %v: the stream has left its server", announced)
		next := f.takeNext()
		require.NotNil(t, next)
		require.Equal(t, g.Servers()[2], next.group.Servers()[next.path.Hops[0].Server])
		require.IsType(t, handedOver{}, h.handedOverFrom(f, first.Layers()))
	}
}

// TestAStreamThatLeftASilentServerWaitsForItsNextPath guards against a request that is lost because the path for which it left its
// server is closed meanwhile.
func TestAStreamThatLeftASilentServerWaitsForItsNextPath(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	f, _ := connected(t, h, g, "one", 0, 1)
	f.r.x = &front.Exchange{}
	g.Servers()[0].Suspect(clock.Now().Add(suspectTime))
	require.True(t, h.watch.handOver(f, f.first, g, "first part is silent"))
	left := h.handedOverFrom(f, f.first.Layers())
	_, instead := h.nextPath(t.Context(), f, left)
	require.Nil(t, instead)
	const full = 2 * time.Second
	for _, s := range g.Servers() {
		s.SetAside(clock.Now().Add(full))
	}
	for _, last := range []outcome{left, notRun{}} {
		require.True(t, h.mayContinue(f, last, 1000))
		found := make(chan outcome, 1)
		go func() {
			_, instead := h.nextPath(t.Context(), f, last)
			found <- instead
		}()
		require.Eventually(t, func() bool {
			clock.Advance(roomPoll)
			return len(found) > 0
		}, testTimeout, time.Millisecond)
		require.Nil(t, <-found, "it goes on once there is room")
	}
}

// TestAStreamThatEndsBeforeItsServerIsNotHandedOver has a stream expect less time than the server still works.
func TestAStreamThatEndsBeforeItsServerIsNotHandedOver(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	f, conn := connected(t, h, g, "one", 0, 1)
	f.expectedLifetime = 2 * time.Second
	sendLeaveNotice(g.Servers()[0], clock)
	backlog := evacuationBacklog{}
	for range 40 {
		clock.Advance(watchPeriod)
		h.watch.evacuate(t.Context(), backlog, func(*inflight) *backend.Group { return g })
	}
	require.True(t, isOpen(conn))
}

// TestAStreamIsNotHandedOverIfItCannotBeResumedElsewhere tries to hand over a stream without another path, without a retry
// left in the budget, and with an earlier server that may still run it.
func TestAStreamIsNotHandedOverIfItCannotBeResumedElsewhere(t *testing.T) {
	cases := map[string]func(h *Handler, f *inflight, g *backend.Group){
		"no path": func(_ *Handler, _ *inflight, g *backend.Group) { announceLeaving(g.Servers()[2]) },
		"no repeat": func(h *Handler, _ *inflight, _ *backend.Group) {
			h.ApplySettings(Settings{Domain: "a", Repeats: retry.Limit{Window: time.Second}})
		},
		"attempts": func(_ *Handler, f *inflight, g *backend.Group) { f.earlierServers = g.Servers()[3:] },
	}
	for name, arrange := range cases {
		t.Run(name, func(t *testing.T) {
			g := twoCopies()
			h, clock := testHandler(t, newFakeEngineClient(g))
			f, conn := connected(t, h, g, "one", 0, 1)
			sendLeaveNotice(g.Servers()[0], clock)
			arrange(h, f, g)
			require.False(t, h.watch.handOver(f, f.first, g, "handed over"))
			require.True(t, isOpen(conn))
			require.Nil(t, f.takeNext())
		})
	}
}

// TestStreamsAreHandedOverEvenlyLongestFirst has forty streams with different remaining times leave one first server.
func TestStreamsAreHandedOverEvenlyLongestFirst(t *testing.T) {
	const streams = 40
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	var all []*inflight
	for n := range streams {
		f, _ := connected(t, h, g, fmt.Sprint(n), 0, 1)
		f.expectedLifetime = time.Minute + time.Duration(n)*time.Second
		all = append(all, f)
	}
	sendLeaveNotice(g.Servers()[0], clock)
	backlog := evacuationBacklog{}
	round := func() {
		clock.Advance(watchPeriod)
		h.watch.evacuate(t.Context(), backlog, func(*inflight) *backend.Group { return g })
		for _, f := range all {
			if f.next.Load() != nil {
				h.watch.remove(f)
			}
		}
	}
	for range evacuationTime / watchPeriod / 2 {
		round()
	}
	require.InDelta(t, streams/2, streams-h.watch.count(), streams/8)
	require.NotNil(t, all[streams-1].next.Load(), "the one that lasts longest has left")
	require.Nil(t, all[0].next.Load(), "the one that ends first has not")
	for range (minLeaveNotice - evacuationTime/2) / watchPeriod {
		round()
	}
	require.Zero(t, h.watch.count())
}

// TestDelayedHandoversAreSpreadOverTheRemainingDrainTime leaves forty streams without another path for two seconds, as while
// the replacement of their server still loads its layers.
func TestDelayedHandoversAreSpreadOverTheRemainingDrainTime(t *testing.T) {
	const streams = 40
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	var all []*inflight
	for n := range streams {
		f, _ := connected(t, h, g, fmt.Sprint(n), 0, 1)
		all = append(all, f)
	}
	sendLeaveNotice(g.Servers()[0], clock)
	backlog, alone := evacuationBacklog{}, backend.NewGroup(g.Service(), g.Servers()[:2])
	round := func(group *backend.Group) {
		clock.Advance(watchPeriod)
		h.watch.evacuate(t.Context(), backlog, func(*inflight) *backend.Group { return group })
		for _, f := range all {
			if f.next.Load() != nil {
				h.watch.remove(f)
			}
		}
	}
	for range 2 * time.Second / watchPeriod {
		round(alone)
	}
	require.Equal(t, streams, h.watch.count())
	for range 200 * time.Millisecond / watchPeriod {
		round(g)
	}
	require.Greater(t, h.watch.count(), streams/2, "they are not all handed over at once")
	for range 800 * time.Millisecond / watchPeriod {
		round(g)
	}
	require.Zero(t, h.watch.count(), "all are handed over before the drain is over")
}

// TestASilentFirstServerIsLeftOnlyForAnotherPath has a first server answer no query while its connections are open.
func TestASilentFirstServerIsLeftOnlyForAnotherPath(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	_, conn := connected(t, h, g, "one", 0, 1)
	clock.Advance(time.Second)
	none := backend.NewGroup(g.Service(), g.Servers()[:2])
	g.Servers()[0].SetAside(clock.Now().Add(time.Second))
	h.watch.moveStalledStreams(g.Servers()[0], none)
	require.True(t, isOpen(conn), "the server may still make progress with it")
	h.watch.moveStalledStreams(g.Servers()[0], g)
	require.False(t, isOpen(conn))
}

// TestAStreamWhoseCallerMissesAnEventIsNotHandedOver guards against an answer that another server completes, though an event is missing in it.
func TestAStreamWhoseCallerMissesAnEventIsNotHandedOver(t *testing.T) {
	g := twoCopies()
	h, _ := testHandler(t, newFakeEngineClient(g))
	f := newBegunStream(g, 2)
	f.first = g.Servers()[0]
	f.next.Store(&chosenPath{group: g})
	last := h.brokenStream(t.Context(), f, errMissedEvent)
	require.Equal(t, incomplete{}, last)
	require.False(t, h.mayContinue(f, last, 1))
}
