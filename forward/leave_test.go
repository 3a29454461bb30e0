package forward

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/front"
	"junctioncross/retry"
)

// uncertainEnds lists the reasons for which a run is left although the rest of its answer may still come from it.
var uncertainEnds = []runEnd{endLeaving, endSilent, endNotListening, endForgotten, endLostPath, endEndless}

// TestARunOfABegunAnswerIsLeftOnlyIfAnotherOneMayFollow guards against answers that end by a conclusion of the instance while the rest
// may still come.
func TestARunOfABegunAnswerIsLeftOnlyIfAnotherOneMayFollow(t *testing.T) {
	cases := map[string]func(h *Handler, f *inflight, g *backend.Group, clock *clockwork.FakeClock){
		"no path": func(_ *Handler, _ *inflight, g *backend.Group, clock *clockwork.FakeClock) {
			for _, s := range g.Servers() {
				s.SetAside(clock.Now().Add(time.Minute))
			}
		},
		"no retry": func(h *Handler, _ *inflight, _ *backend.Group, _ *clockwork.FakeClock) {
			h.ApplySettings(Settings{Domain: "a", Repeats: retry.Limit{Window: time.Second}})
		},
		"attempts used up": func(_ *Handler, f *inflight, g *backend.Group, clock *clockwork.FakeClock) {
			f.earlierServers = g.Servers()[3:]
			g.Servers()[0].SetAside(clock.Now().Add(time.Minute))
		},
		"may not run again": func(_ *Handler, f *inflight, _ *backend.Group, _ *clockwork.FakeClock) {
			route := *f.r.route
			route.RetryPolicy = 0
			f.r.route = &route
		},
		"no group": func(_ *Handler, f *inflight, _ *backend.Group, _ *clockwork.FakeClock) { f.group = nil },
	}
	for _, why := range uncertainEnds {
		for name, arrange := range cases {
			t.Run(fmt.Sprintf("%s, %s", why, name), func(t *testing.T) {
				g := twoCopies()
				h, clock := testHandler(t, newFakeEngineClient(g))
				f, conn := connected(t, h, g, "one", 0, 1)
				f.begun.Store(true)
				arrange(h, f, g, clock)
				h.watch.leaveRun(f, f.first, f.pathGroup(), why)
				require.True(t, isOpen(conn))
				require.Nil(t, f.takeNext())
			})
		}
		t.Run(string(why)+", possible", func(t *testing.T) {
			g := twoCopies()
			h, _ := testHandler(t, newFakeEngineClient(g))
			f, conn := connected(t, h, g, "one", 0, 1)
			f.begun.Store(true)
			h.watch.leaveRun(f, f.first, g, why)
			require.False(t, isOpen(conn))
			require.NotNil(t, f.takeNext(), "its next path is chosen and paid for")
			require.Equal(t, why, f.runEnded())
		})
	}
}

// TestARequestThatItsServerDoesNotKnowYetIsNotGivenUpForLackOfRoom guards against requests that are lost since their server, silent until
// just then, has not come to them when it is asked, and no other one has room.
func TestARequestThatItsServerDoesNotKnowYetIsNotGivenUpForLackOfRoom(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	e.forgets = map[string]bool{"one": true}
	h, clock := testHandler(t, e)
	f, conn := connected(t, h, g, "one", 0, 1)
	f.r.x = &front.Exchange{}
	f.progressed.Store(false)
	other := g.Servers()[2]
	f.earlierServers = g.Servers()[3:]
	g.Servers()[0].SetAside(clock.Now().Add(time.Minute))
	clock.Advance(time.Second)
	for range 4 {
		h.watch.diagnose(t.Context(), f.first, g, []*inflight{f})
		clock.Advance(firstEventSlack)
	}
	require.True(t, isOpen(conn), "it may still come to it")
	f.earlierServers = nil
	h.watch.diagnose(t.Context(), f.first, g, []*inflight{f})
	require.False(t, isOpen(conn), "it is asked again, and the stream may go elsewhere")
	require.Equal(t, other, g.Servers()[f.takeNext().path.Hops[0].Server])
}

// TestAStreamOnALostPathThatNoOtherServerMayRunGoesOnAtItsServer guards against answers that stand still until their callers leave although
// another instance reaches their server.
func TestAStreamOnALostPathThatNoOtherServerMayRunGoesOnAtItsServer(t *testing.T) {
	g := twoCopies()
	h, _ := testHandler(t, newFakeEngineClient(g))
	f, conn := connected(t, h, g, "one", 0, 1)
	f.begun.Store(true)
	route := *f.r.route
	route.MaxAttempts = 1
	f.r.route = &route
	h.watch.leaveRun(f, f.first, g, endLostPath)
	require.False(t, isOpen(conn))
	next := f.takeNext()
	require.NotNil(t, next)
	require.Equal(t, f.first, g.Servers()[next.path.Hops[0].Server])
}

// TestInALargeFleetNoBegunAnswerIsLeftWithoutARetry guards against instances that leave runs for which their small share of the limit on
// retries has no retry.
func TestInALargeFleetNoBegunAnswerIsLeftWithoutARetry(t *testing.T) {
	const streams, fixed = 40, 100
	for _, instances := range []int{7, 87, 985} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			g := twoCopies()
			h, _ := testHandler(t, newFakeEngineClient(g))
			h.instances = fleetOf(instances)
			withFullRetryBudget(h)
			closed := 0
			for n := range streams {
				f, conn := connected(t, h, g, fmt.Sprint(n), 0, 1)
				f.begun.Store(true)
				h.watch.leaveRun(f, f.first, g, uncertainEnds[n%len(uncertainEnds)])
				if isOpen(conn) {
					require.Nil(t, f.takeNext())
					continue
				}
				require.NotNil(t, f.takeNext())
				closed++
			}
			require.LessOrEqual(t, closed, fixed/instances+1)
		})
	}
}

// fleetOf is a number of instances that share the limits.
type fleetOf int

// Instances implements Instances.
func (n fleetOf) Instances() int { return int(n) }

// TestStreamsThatMayNotLeaveTakeNoTriesOfOthers guards against streams that wait in vain for their turn to leave a run that cannot go on.
func TestStreamsThatMayNotLeaveTakeNoTriesOfOthers(t *testing.T) {
	g := twoCopies()
	h, clock := testHandlerWith(t, newFakeEngineClient(g), cutOffDialer{})
	near, _ := tcpPair(t)
	for n := range 10 * maxLeavingTries {
		f, _ := connected(t, h, g, fmt.Sprint(n), 0, 1)
		f.conn = &backend.Conn{Conn: near}
		f.begun.Store(true)
		route := *f.r.route
		if n > 0 {
			route.RetryPolicy = 0
		}
		f.r.route = &route
	}
	clock.Advance(time.Second)
	stuck, _ := h.watch.stalledStreams()
	require.Len(t, stuck, 1)
}

// TestStreamsThatWaitForOneServerShareItsQueries guards against as many queries of a server as there are streams that it ran.
func TestStreamsThatWaitForOneServerShareItsQueries(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	h, clock := testHandler(t, e)
	server := g.Servers()[0]
	server.SetAside(clock.Now().Add(time.Minute))
	ctx, stop := context.WithCancel(t.Context())
	var all sync.WaitGroup
	for range 20 {
		all.Go(func() { h.awaitResumePath(ctx, newBegunStream(g, 1, 0, 0)) })
	}
	const waited = 2 * time.Second
	for range waited / roomPoll {
		clock.Advance(roomPoll)
		time.Sleep(time.Millisecond)
	}
	stop()
	all.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	require.LessOrEqual(t, e.queries[server.Addr()], int(waited/requeryPeriod)+1)
}
