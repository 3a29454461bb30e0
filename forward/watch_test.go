package forward

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/chain"
	"junctioncross/models"
)

// TestAResumedStreamIsNotCutForItsFormerFirstServer guards against closing the connection of a stream that was resumed on
// another server between the diagnosis of its first server and the finding that this server is dead.
func TestAResumedStreamIsNotCutForItsFormerFirstServer(t *testing.T) {
	h, _ := testHandler(t, nil)
	g := twoCopies()
	servers := g.Servers()
	ours, theirs := net.Pipe()
	defer theirs.Close()
	f := &inflight{r: &request{route: &catalog.Route{}}, first: servers[2], conn: &backend.Conn{Conn: ours}}
	h.watch.add(f)
	h.watch.leaveRun(f, servers[0], g, endNotListening)
	require.NoError(t, ours.SetDeadline(time.Time{}), "the connection to the new first server is open")
	h.watch.leaveRun(f, servers[2], g, endNotListening)
	require.Error(t, ours.SetDeadline(time.Time{}), "the connection to a dead first server is closed")
}

// newActiveStream returns a stream that is under way along a path of a group, and last made progress at the given time after the
// handler's start.
func newActiveStream(h *Handler, g *backend.Group, id string, lastAt time.Duration, path ...int) *inflight {
	hops := make([]chain.Hop, len(path))
	for i, n := range path {
		hops[i] = chain.Hop{Server: n, Layers: g.Servers()[n].Layers()}
	}
	route := &catalog.Route{PauseObjective: 200 * time.Millisecond, MaxAttempts: 2, RetryPolicy: catalog.RetryResume, Timeout: time.Minute}
	f := &inflight{
		r: &request{group: g, route: route, meta: call.Meta{ID: id}}, first: g.Servers()[path[0]],
		need: chain.Need{Prompt: 10, Tokens: 20},
	}
	f.attemptStart, f.expectedLifetime = h.clock.Now(), time.Minute
	f.progressed.Store(true)
	f.lastAt.Store(int64(lastAt))
	f.assign(g, hops)
	h.watch.add(f)
	return f
}

// TestADeadServerIsReplacedInAllStreamsOnceOneHasFoundIt has two streams with different first servers use a dead server; only
// one of them has been stalled for long enough to be diagnosed.
func TestADeadServerIsReplacedInAllStreamsOnceOneHasFoundIt(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g, 1)
	h, clock := testHandler(t, e)
	stalled := newActiveStream(h, g, "still", 0, 0, 1)
	newActiveStream(h, g, "shorter", 80*time.Millisecond, 2, 1)
	clock.Advance(140 * time.Millisecond)
	newActiveStream(h, g, "elsewhere", 80*time.Millisecond, 2, 3)
	h.watch.diagnose(t.Context(), stalled.first, g, []*inflight{stalled})
	for _, id := range []string{"still", "shorter"} {
		require.Len(t, e.repairs[id], 2, id)
		require.Equal(t, g.Servers()[3].Addr(), e.repairs[id][1].Addr)
	}
	require.NotContains(t, e.repairs, "elsewhere")
}

// TestServersOfProgressingStreamsAreNotQueried has another stream use the middle of the path of a stalled stream and make
// progress after that one last did.
func TestServersOfProgressingStreamsAreNotQueried(t *testing.T) {
	g := fourStages()
	e := newFakeEngineClient(g, 3)
	h, clock := testHandler(t, e)
	stalled := newActiveStream(h, g, "still", 0, 0, 1, 2, 3)
	newActiveStream(h, g, "moving", 110*time.Millisecond, 1, 2)
	clock.Advance(140 * time.Millisecond)
	h.watch.diagnose(t.Context(), stalled.first, g, []*inflight{stalled})
	require.Zero(t, e.queries[g.Servers()[1].Addr()])
	require.Zero(t, e.queries[g.Servers()[2].Addr()])
	require.NotZero(t, e.queries[g.Servers()[3].Addr()])
	require.Len(t, e.repairs["still"], 4, "repaired with the other holder of the last layers")
}

// TestAStreamIsRepairedAfterItsFirstServerLostItsEntry has the first server leave without notice and keep working, and the
// second one die.
func TestAStreamIsRepairedAfterItsFirstServerLostItsEntry(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g, 1)
	h, clock := testHandler(t, e)
	stalled := newActiveStream(h, g, "still", 0, 0, 1)
	clock.Advance(140 * time.Millisecond)
	first := g.Servers()[0]
	first.Remove()
	now := backend.NewGroup(g.Service(), g.Servers()[1:])
	h.watch.diagnose(t.Context(), first, now, []*inflight{stalled})
	require.Len(t, e.repairs["still"], 2)
	require.Equal(t, first.Addr(), e.repairs["still"][0].Addr)
	require.Equal(t, g.Servers()[3].Addr(), e.repairs["still"][1].Addr)
}

// TestARepairReplacesAllLeavingServers has one server of a path die while another one, which still works, has sent its leave
// notice: from then on a server refuses to be on a new path.
func TestARepairReplacesAllLeavingServers(t *testing.T) {
	service := twoCopies().Service()
	var servers []*backend.Server
	for i, first := range []int{0, 2, 5, 2, 5} {
		end := map[int]int{0: 2, 2: 5, 5: 8}[first]
		servers = append(servers, backend.NewServer(backend.Entry{
			ID: fmt.Sprint("s", i), Service: "s", Addr: fmt.Sprint("127.0.0.1:", i+1), Domain: "a", Kind: "k",
			Layers: models.Layers{First: first, End: end},
		}))
	}
	g := backend.NewGroup(service, servers)
	e := newFakeEngineClient(g, 2)
	h, clock := testHandler(t, e)
	stalled := newActiveStream(h, g, "still", 0, 0, 1, 2)
	clock.Advance(140 * time.Millisecond)
	announceLeaving(servers[1])
	h.watch.diagnose(t.Context(), stalled.first, g, []*inflight{stalled})
	require.Len(t, e.repairs["still"], 3)
	require.Equal(t, servers[3].Addr(), e.repairs["still"][1].Addr)
	require.Equal(t, servers[4].Addr(), e.repairs["still"][2].Addr)
}

// fourStages returns a group with one copy of a model in four servers and a second holder of the last layers.
func fourStages() *backend.Group {
	service := twoCopies().Service()
	var servers []*backend.Server
	for i, first := range []int{0, 2, 4, 6, 6} {
		servers = append(servers, backend.NewServer(backend.Entry{
			ID: fmt.Sprint("s", i), Service: "s", Addr: fmt.Sprint("127.0.0.1:", i+1), Domain: "a", Kind: "k",
			Layers: models.Layers{First: first, End: first + 2},
		}))
	}
	return backend.NewGroup(service, servers)
}

// TestAServerThatDiedJustAfterProgressIsFoundByTheNextDiagnosis has another stream make progress through the dying server a
// moment before the first diagnosis.
func TestAServerThatDiedJustAfterProgressIsFoundByTheNextDiagnosis(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g, 1)
	h, clock := testHandler(t, e)
	stalled := newActiveStream(h, g, "still", 0, 0, 1)
	newActiveStream(h, g, "last", 130*time.Millisecond, 2, 1)
	clock.Advance(140 * time.Millisecond)
	h.watch.diagnose(t.Context(), stalled.first, g, []*inflight{stalled})
	require.Empty(t, e.repairs, "the dead server looks healthy")
	clock.Advance(diagnosePeriod)
	h.watch.diagnose(t.Context(), stalled.first, g, []*inflight{stalled})
	require.Len(t, e.repairs, 2)
}

// TestADiagnosisDoesNotWaitForAHangingCall has the queries to a server hang for as long as the test runs, as calls do that
// cannot open a connection.
func TestADiagnosisDoesNotWaitForAHangingCall(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	e.hanging, e.end = map[string]bool{g.Servers()[1].Addr(): true}, make(chan struct{})
	t.Cleanup(func() { close(e.end) })
	h, clock := testHandler(t, e)
	stalled := newActiveStream(h, g, "still", 0, 0, 1)
	clock.Advance(140 * time.Millisecond)
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.watch.diagnose(t.Context(), stalled.first, g, []*inflight{stalled})
	}()
	require.Eventually(t, func() bool {
		clock.Advance(secondQueryDelay)
		select {
		case <-done:
			return true
		default:
			return false
		}
	}, 30*time.Second, 5*time.Millisecond)
	require.Len(t, e.repairs["still"], 2)
}

// TestAServerIsReplacedOnceItsEntryNamesOtherLayers has the entry of a server name other layers although the server was not
// queried.
func TestAServerIsReplacedOnceItsEntryNamesOtherLayers(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	h, clock := testHandler(t, e)
	stalled := newActiveStream(h, g, "still", 0, 0, 1)
	clock.Advance(140 * time.Millisecond)
	moved := g.Servers()[1]
	moved.TryQuery(clock.Now())
	moved.Update(backend.Entry{Layers: models.Layers{First: 0, End: 4}})
	h.watch.diagnose(t.Context(), stalled.first, g, []*inflight{stalled})
	require.Zero(t, e.queries[moved.Addr()])
	require.Len(t, e.repairs["still"], 2)
}

// TestAReportOlderThanTheEntryIsIgnored has a server that loaded its layers a moment ago: its entry names them already, its
// report does not yet.
func TestAReportOlderThanTheEntryIsIgnored(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	loaded := g.Servers()[1]
	e.holds[loaded.Addr()] = models.Layers{}
	h, clock := testHandler(t, e)
	stalled := newActiveStream(h, g, "still", 0, 0, 1)
	clock.Advance(140 * time.Millisecond)
	loaded.NoteLayers(clock.Now())
	h.watch.diagnose(t.Context(), stalled.first, g, []*inflight{stalled})
	require.NotZero(t, e.queries[loaded.Addr()])
	require.Empty(t, e.repairs)
	require.True(t, loaded.Usable(clock.Now()))
	clock.Advance(time.Second)
	h.watch.diagnose(t.Context(), stalled.first, g, []*inflight{stalled})
	require.Len(t, e.repairs["still"], 2, "a report of a second later is newer than the entry")
}

// TestProgressingStreamsStayOnAServerWithoutAnEntry has a server leave without notice while one of two streams through it is
// stalled.
func TestProgressingStreamsStayOnAServerWithoutAnEntry(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	h, clock := testHandler(t, e)
	stalled := newActiveStream(h, g, "still", 0, 0, 1)
	newActiveStream(h, g, "moving", 130*time.Millisecond, 2, 1)
	clock.Advance(140 * time.Millisecond)
	g.Servers()[1].Remove()
	h.watch.diagnose(t.Context(), stalled.first, g, []*inflight{stalled})
	require.Len(t, e.repairs["still"], 2)
	require.NotContains(t, e.repairs, "moving", "it is evacuated later")
}

// TestARepairAlsoReplacesTheServerNamedInItsRefusal has a second server of the path drop its layers without notice.
func TestARepairAlsoReplacesTheServerNamedInItsRefusal(t *testing.T) {
	g := twoCopies()
	service := g.Service()
	var servers []*backend.Server
	for i, first := range []int{0, 2, 5, 2, 5, 2} {
		end := map[int]int{0: 2, 2: 5, 5: 8}[first]
		servers = append(servers, backend.NewServer(backend.Entry{
			ID: fmt.Sprint("s", i), Service: "s", Addr: fmt.Sprint("127.0.0.1:", i+1), Domain: "a", Kind: "k",
			Layers: models.Layers{First: first, End: end},
		}))
	}
	g = backend.NewGroup(service, servers)
	e := newFakeEngineClient(g, 2)
	e.reassigned = map[string]bool{servers[1].Addr(): true}
	h, clock := testHandler(t, e)
	stalled := newActiveStream(h, g, "still", 0, 0, 1, 2)
	clock.Advance(140 * time.Millisecond)
	h.watch.diagnose(t.Context(), stalled.first, g, []*inflight{stalled})
	require.Len(t, e.repairs["still"], 3)
	require.NotEqual(t, servers[1].Addr(), e.repairs["still"][1].Addr)
	require.Equal(t, servers[4].Addr(), e.repairs["still"][2].Addr)
}

// TestAStreamForgottenByItsServerIsResumedElsewhere has two streams wait for their first events; the server knows only one of
// them.
func TestAStreamForgottenByItsServerIsResumedElsewhere(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	e.forgets = map[string]bool{"forgotten": true}
	h, clock := testHandler(t, e)
	conns := map[string]net.Conn{}
	var streams []*inflight
	for _, id := range []string{"forgotten", "queued"} {
		f := newActiveStream(h, g, id, 0, 0, 1)
		f.progressed.Store(false)
		ours, theirs := net.Pipe()
		t.Cleanup(func() { _ = theirs.Close() })
		f.conn, conns[id] = &backend.Conn{Conn: ours}, ours
		streams = append(streams, f)
	}
	clock.Advance(time.Second)
	diagnoseTwice(t, h, clock, g, streams...)
	require.Error(t, conns["forgotten"].SetDeadline(time.Time{}), "its connection is closed, so that it is resumed elsewhere")
	require.NoError(t, conns["queued"].SetDeadline(time.Time{}))
}
