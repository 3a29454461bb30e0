package forward

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/follow"
	"junctioncross/platform/fake"
	"junctioncross/retry"
)

// plainHarm is what becomes of the server of a stream of a plain service; stop ends the server's connections.
type plainHarm func(c *configured, first *backend.Server, stop func())

// plainHarms are those after which the stream must be whole. The server sends nothing further in any case.
var plainHarms = map[string]plainHarm{
	"breaks":       func(_ *configured, _ *backend.Server, stop func()) { stop() },
	"falls silent": func(*configured, *backend.Server, func()) {},
	"leaves": func(c *configured, _ *backend.Server, _ func()) {
		c.write(0, func(e *backend.Entry) { e.Leaving = true })
	},
	"leaves and breaks": func(c *configured, first *backend.Server, stop func()) {
		c.write(0, func(e *backend.Entry) { e.Leaving = true })
		require.Eventually(c.t, first.Leaving, testTimeout, time.Millisecond)
		stop()
	},
	"has no entry and breaks": func(c *configured, first *backend.Server, stop func()) {
		c.source.changes[follow.FeedServers] <- follow.ServerGone{ID: c.entries[0].ID}
		require.Eventually(c.t, first.Gone, testTimeout, time.Millisecond)
		stop()
	},
	"starts again": func(c *configured, _ *backend.Server, _ func()) {
		c.write(0, func(e *backend.Entry) { e.Born = 2 })
	},
	"is lost from sight": func(c *configured, first *backend.Server, _ func()) { c.paths.lost <- first.Addr() },
}

// playPlainStream changes the configuration and harms the server of a stream of a plain service while that is under way: it must be whole.
func playPlainStream(t *testing.T, change func(content *catalog.Content), harm plainHarm) {
	t.Parallel()
	stopped := make(chan struct{})
	first := newTestServer(t, "1", func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, strings.TrimSuffix(fake.StreamAnswer(onlyEvent), "0\r\n\r\n"))
		<-stopped
		_ = c.Close()
	})
	other := newTestServer(t, "2", writing(fake.StreamAnswer(laterEvent)))
	route := plainStreamRoute()
	route.PauseObjective = 200 * time.Millisecond
	c := plainStreams(t, route, first, other)
	stop := func() { close(stopped) }
	server := c.server(first.server.Addr())
	caller := callFront(t, c.front, "1")
	require.Eventually(t, func() bool {
		streams := c.h.watch.active()
		return len(streams) == 1 && streams[0].begun.Load()
	}, testTimeout, time.Millisecond)
	c.configure(change)
	harm(c, server, stop)
	status, body := readBody(t, caller)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, onlyEvent+laterEvent, body)
	require.Equal(t, []string{"0"}, other.resumedAfter())
}

// TestAStreamOfAServiceWithoutAnEngineIsWholeWhateverHappens guards against answers that end because nobody resumes them.
func TestAStreamOfAServiceWithoutAnEngineIsWholeWhateverHappens(t *testing.T) {
	for _, changes := range []map[string]func(*catalog.Content){configChanges, serviceChanges} {
		for change, apply := range changes {
			for harm, do := range plainHarms {
				t.Run(change+", server "+harm, func(t *testing.T) { playPlainStream(t, apply, do) })
			}
		}
	}
}

// TestAStreamThatOutlastsItsServerIsMovedInTime guards against streams of services without an engine that break off with a server that leaves,
// though it had told so and still serves them.
func TestAStreamThatOutlastsItsServerIsMovedInTime(t *testing.T) {
	first, other := newTestServer(t, "1", func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, fake.UnframedStreamAnswer(""))
		for n := 0; ; n++ {
			if _, err := io.WriteString(c, nthEvent(n)); err != nil {
				return
			}
			time.Sleep(watchPeriod)
		}
	}), newTestServer(t, "2", func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, fake.UnframedStreamAnswer(nthEvent(1<<20)))
		_ = c.Close()
	})
	c := plainStreams(t, plainStreamRoute(), first, other)
	settings := *c.h.settings.Load()
	settings.DrainTime = 2 * time.Second
	c.h.ApplySettings(settings)
	caller := callFront(t, c.front, "1")
	require.Equal(t, nthEvent(0), readStream(t, caller).next())
	c.write(0, func(e *backend.Entry) { e.Leaving = true })
	require.Eventually(t, func() bool { return requestCount([]*testServer{other}) == 1 }, testTimeout, time.Millisecond)
	require.Less(t, c.server(first.server.Addr()).LeavingFor(time.Now()), settings.DrainTime)
}

// TestAStreamOfAServiceWithoutAnEngineLeavesEndlessBytes guards against endless bytes that keep the caller of a stream and fill the memory.
func TestAStreamOfAServiceWithoutAnEngineLeavesEndlessBytes(t *testing.T) {
	for _, kind := range fake.EndlessKinds {
		t.Run(kind.String(), func(t *testing.T) {
			var sent atomic.Int64
			c := plainStreams(t, plainStreamRoute(), endlessServer(t, "1", kind, &sent), newTestServer(t, "2", streamed))
			status, body := readBody(t, callFront(t, c.front, "1"))
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, onlyEvent, body)
			require.Less(t, sent.Load(), int64(heldMost))
		})
	}
}

// TestAnEndlessStreamTakesLittleMemory guards against streams that are held until they end.
func TestAnEndlessStreamTakesLittleMemory(t *testing.T) {
	var sent atomic.Int64
	piece := "data: " + strings.Repeat("x", 1<<10) + "\n\n"
	ts := newTestServer(t, "1", func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, fake.UnframedStreamAnswer(""))
		for n := 0; ; n++ {
			sent.Add(int64(len(piece)))
			if _, err := io.WriteString(c, strings.TrimSuffix(nthEvent(n), "\n")+piece); err != nil {
				return
			}
		}
	})
	c := plainStreams(t, plainStreamRoute(), ts)
	caller := callFront(t, c.front, "1")
	r := readStream(t, caller)
	for n := 0; sent.Load() < 4*maxPlainBody; n++ {
		require.True(t, strings.HasPrefix(r.next(), strings.TrimSuffix(nthEvent(n), "\n")))
	}
	require.Equal(t, int64(defaultHeldBytes), c.h.bodies.left.Load(), "the stream holds no memory of bodies")
	require.NoError(t, caller.Close())
}

// TestAStreamOfAServiceWithoutAnEngineKeepsToTheBudget guards against retries beyond the budget: nothing is sent again before it has one.
func TestAStreamOfAServiceWithoutAnEngineKeepsToTheBudget(t *testing.T) {
	for name, c := range map[string]struct {
		first  func(net.Conn, int)
		status int
	}{
		"refused": {writing(fake.PlainRefusal("")), http.StatusServiceUnavailable},
		"broken":  {unframed("id: 0"), http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			first, other := newTestServer(t, "1", c.first), newTestServer(t, "2", streamed)
			streams := plainStreams(t, plainStreamRoute(), first, other)
			streams.h.ApplySettings(Settings{Domain: "a", Repeats: retry.Limit{Window: 10 * time.Second, Fixed: 4}})
			for streams.h.takeRetry(&request{group: streams.h.fleetView.Current().Group(configuredService)}) {
			}
			require.Equal(t, c.status, readStatus(t, callFront(t, streams.front, "1")))
			require.Zero(t, requestCount([]*testServer{other}))
		})
	}
}

// TestAStoppingInstanceJudgesStreamsByStreams guards against a stream that is accepted, and then cut, since other answers of its service are short.
func TestAStoppingInstanceJudgesStreamsByStreams(t *testing.T) {
	h, clock := testHandler(t, nil)
	group := backend.NewGroup(&catalog.Service{Name: "s"}, nil)
	stream := plainStreamRoute()
	short := &catalog.Route{Name: "short", Objective: 100 * time.Millisecond, Timeout: time.Hour}
	stream.Objective, stream.Timeout = 100*time.Millisecond, time.Hour
	one, other := &request{route: &stream, group: group, deadline: clock.Now().Add(time.Hour)}, &request{route: short, group: group}
	for range maxSamples {
		h.plainTimes.add(one, 6*time.Second)
		h.plainTimes.add(other, 10*time.Millisecond)
	}
	h.StopBy(clock.Now().Add(testGrace))
	require.True(t, h.mayBegin(one))
	clock.Advance(2 * time.Second)
	require.False(t, h.mayBegin(one))
	require.True(t, h.mayBegin(&request{route: short, group: group, deadline: clock.Now().Add(time.Hour)}))
}
