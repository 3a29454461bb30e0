package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/front"
	"junctioncross/models"
	"junctioncross/platform/fake"
	"junctioncross/quarantine"
	"junctioncross/timer"
)

// onceRoute is a route whose requests may not be retried.
func onceRoute() *catalog.Route {
	return &catalog.Route{Name: "r", RetryPolicy: catalog.RetryNever, MaxAttempts: 1, Timeout: time.Minute, Objective: time.Second}
}

// endOf returns the end of a server under the request that callFront sends, in another attempt.
func endOf(server int) quarantine.End {
	return quarantine.NewEnd(quarantine.FingerprintOf([]byte("h"), []byte("/a"), "", nil), fmt.Sprint(server), "earlier")
}

// TestAQuarantinedRequestIsRefusedAtOnce applies only the ends that other instances have published; the request may not be
// retried.
func TestAQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	ts := newTestServer(t, "1", sealed)
	h := plainHandler(t, timer.NewReal())
	s := frontOf(t, h, onceRoute(), []*testServer{ts})
	for n := range 2 {
		h.ends.AddListed(endOf(n), time.Now())
	}
	require.Equal(t, http.StatusOK, readStatus(t, callFront(t, s, "second")))
	require.Zero(t, h.ends.Size(), "a server has run it without ending")
	for n := range 3 {
		h.ends.AddListed(endOf(n), time.Now())
	}
	require.Equal(t, http.StatusServiceUnavailable, readStatus(t, callFront(t, s, "third")))
	require.Equal(t, 1, requestCount([]*testServer{ts}))
}

// TestARequestIsRefusedAtOnceForAQuarantinedPartOnly applies ends that other instances have published.
func TestARequestIsRefusedAtOnceForAQuarantinedPartOnly(t *testing.T) {
	ts := newTestServer(t, "1", sealed)
	h := plainHandler(t, timer.NewReal())
	s := frontOf(t, h, onceRoute(), []*testServer{ts})
	ask := func(id, parts string) int {
		return readStatus(t, callFrontWith(t, s, id, fake.PromptHeader(parts)))
	}
	for n := range 3 {
		end := quarantine.NewEnd(quarantine.FingerprintOf([]byte("h"), []byte("/b"), "", nil, fmt.Sprint(n)), fmt.Sprint(n), fmt.Sprint(n))
		end.Suspects = quarantine.NewSuspects("s", quarantine.PartsOf("s", []string{"first", "bad"}), true)
		h.ends.AddListed(end, time.Now())
	}
	require.Equal(t, http.StatusServiceUnavailable, ask("harmful", "first:1,bad:1,own:1"))
	require.Equal(t, http.StatusOK, ask("sound", "first:1,good:1,own:1"))
	require.Equal(t, http.StatusOK, ask("last", "first:1,good:1,bad:1"), "the last part belongs to the request")
	require.Equal(t, http.StatusServiceUnavailable, ask("other", "bad:1,own:1"), "the first part has been proved harmless")
	require.Equal(t, 2, requestCount([]*testServer{ts}))
}

// TestAnAnswerThatWasNotWrittenProvesNoPart guards against clearing a harmful part by a request that resumes a stream after its last
// event, or that a server rejects: neither has begun to write.
func TestAnAnswerThatWasNotWrittenProvesNoPart(t *testing.T) {
	parts := fake.PromptHeader("bad:1,own:1")
	unproven := func(h *Handler) bool {
		return len(h.ends.Unproven(quarantine.PartsOf("s", []string{"bad"}), time.Now())) == 1
	}

	ts := newTestServer(t, "1", afterLastEvent)
	g := chainGroup(ts)
	h := chainHandler(t, g)
	require.Equal(t, http.StatusOK, readStatus(t, callFrontWith(t, streamFront(t, h, g), "1", "Last-Event-Id: 0\r\n"+parts)))
	require.True(t, unproven(h))

	rejecting := newTestServer(t, "1", func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, fake.PlainFailure("404 Not Found"))
	})
	h = plainHandler(t, timer.NewReal())
	require.Equal(t, http.StatusNotFound, readStatus(t, callFrontWith(t, frontOf(t, h, onceRoute(), []*testServer{rejecting}), "1", parts)))
	require.True(t, unproven(h))

	serving := newTestServer(t, "1", sealed)
	require.Equal(t, http.StatusOK, readStatus(t, callFrontWith(t, frontOf(t, h, onceRoute(), []*testServer{serving}), "2", parts)))
	require.Eventually(t, func() bool { return !unproven(h) }, testTimeout, time.Millisecond)
}

// TestABrokenRunCountsOnlyIfThePlainServerHasEnded lets servers close the connection of a request, of which one stops
// listening as well.
func TestABrokenRunCountsOnlyIfThePlainServerHasEnded(t *testing.T) {
	for _, ends := range []bool{true, false} {
		t.Run(fmt.Sprint(ends), func(t *testing.T) {
			ts := newTestServer(t, "1", func(c net.Conn, _ int) { _ = c.Close() })
			ts.answer = func(c net.Conn, _ int) {
				if ends {
					_ = ts.listener.Close()
				}
				_ = c.Close()
			}
			h := plainHandler(t, timer.NewReal())
			s := frontOf(t, h, onceRoute(), []*testServer{ts})
			require.Equal(t, http.StatusBadGateway, readStatus(t, callFront(t, s, "one")))
			if !ends {
				require.Eventually(t, func() bool { return h.ends.Size() == 0 }, testTimeout, time.Millisecond)
				return
			}
			require.Eventually(t, func() bool { unpublished, _ := h.ends.Unpublished(9); return len(unpublished) == 1 }, testTimeout, time.Millisecond)
		})
	}
}

// suspectedEnd returns a handler in which a stream broke at the first server of a group after it had run there for some
// time.
func suspectedEnd(t *testing.T, e *fakeEngineClient, g *backend.Group, ran time.Duration) (*Handler, *request, *clockwork.FakeClock) {
	h, clock := testHandler(t, e)
	f := newBegunStream(g, 2)
	h.suspectEnd(f.r, g.Servers()[0], brokenRun{lasted: ran})
	return h, f.r, clock
}

// eventuallyAdvancing waits for a condition while it advances the clock.
func eventuallyAdvancing(t *testing.T, clock *clockwork.FakeClock, what func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		clock.Advance(10 * time.Millisecond)
		return what()
	}, testTimeout, time.Millisecond)
}

// TestABrokenRunCountsOnlyIfTheEngineHasEndedOrIsSilent breaks the connection of a stream to an engine that has ended, still
// answers, or does not answer, and of a stream that had run for long.
func TestABrokenRunCountsOnlyIfTheEngineHasEndedOrIsSilent(t *testing.T) {
	t.Run("ended", func(t *testing.T) {
		g := twoCopies()
		h, r, clock := suspectedEnd(t, newFakeEngineClient(g, 0), g, 0)
		require.Equal(t, 1, h.ends.Ends(r.fingerprint()), "it counts on this instance at once")
		eventuallyAdvancing(t, clock, func() bool { unpublished, _ := h.ends.Unpublished(9); return len(unpublished) == 1 })
	})
	t.Run("still answers", func(t *testing.T) {
		g := twoCopies()
		h, _, clock := suspectedEnd(t, newFakeEngineClient(g), g, 0)
		eventuallyAdvancing(t, clock, func() bool { return h.ends.Size() == 0 })
	})
	t.Run("silent", func(t *testing.T) {
		g := twoCopies()
		e := newFakeEngineClient(g)
		e.hanging, e.end = map[string]bool{g.Servers()[0].Addr(): true}, make(chan struct{})
		h, _, clock := suspectedEnd(t, e, g, 0)
		close(e.end)
		eventuallyAdvancing(t, clock, func() bool { unpublished, _ := h.ends.Unpublished(9); return len(unpublished) == 1 })
	})
	t.Run("silent like others", func(t *testing.T) {
		g := twoCopies()
		e := newFakeEngineClient(g)
		e.hanging, e.end = map[string]bool{g.Servers()[0].Addr(): true}, make(chan struct{})
		h, clock := testHandlerWith(t, e, cutOffDialer{})
		h.suspectEnd(&request{x: &front.Exchange{}, group: g, route: onceRoute()}, g.Servers()[0], brokenRun{})
		close(e.end)
		eventuallyAdvancing(t, clock, func() bool { return h.ends.Size() == 0 })
	})
	t.Run("had run for long", func(t *testing.T) {
		g := twoCopies()
		h, r, _ := suspectedEnd(t, newFakeEngineClient(g, 0), g, harmlessTime)
		require.Zero(t, h.ends.Ends(r.fingerprint()))
	})
}

// TestASilentServerDoesNotProveItsRequestHarmless guards against taking the time until the silence was noticed for time that it ran.
func TestASilentServerDoesNotProveItsRequestHarmless(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g, 0))
	f := newBegunStream(g, 2)
	f.first = g.Servers()[0]
	for _, c := range []struct{ answering, silent time.Duration }{{0, 2 * harmlessTime}, {harmlessTime, 0}} {
		f.progressed.Store(false)
		h.observePause(f)
		clock.Advance(c.answering)
		f.touch(h)
		clock.Advance(c.silent)
		require.Equal(t, c.answering, f.brokenRun(h).lasted)
	}
}

// TestARunPastItsBeginningSuspectsNoPart guards the parts of requests that a server had run for a while when it crashed by itself.
func TestARunPastItsBeginningSuspectsNoPart(t *testing.T) {
	for name, c := range map[string]struct {
		run     brokenRun
		suspect bool
	}{
		"not begun":  {run: brokenRun{}, suspect: true},
		"just begun": {run: brokenRun{begun: true, answered: justBegunTime}, suspect: true},
		"slow":       {run: brokenRun{begun: true, answered: beginningTime}, suspect: true},
		"begun":      {run: brokenRun{begun: true, answered: beginningTime + time.Millisecond}},
	} {
		g := twoCopies()
		h, _ := testHandler(t, newFakeEngineClient(g, 0))
		f := newBegunStream(g, 2)
		f.r.meta.PromptParts = []string{"part", "last"}
		h.suspectEnd(f.r, g.Servers()[0], c.run)
		require.Equal(t, c.suspect, h.ends.Parts() == 1, name)
		require.Equal(t, 1, h.ends.Ends(f.r.fingerprint()), "%s: the request itself is suspected", name)
	}
}

// TestAStreamIsQuarantinedAfterSeveralServersEndedUnderIt breaks a stream at one server after the other, faster than the
// checks find out whether they have ended.
func TestAStreamIsQuarantinedAfterSeveralServersEndedUnderIt(t *testing.T) {
	g := twoCopies()
	h, _ := testHandler(t, newFakeEngineClient(g, 0, 1, 2, 3))
	r := &request{x: &front.Exchange{}, group: g, route: onceRoute()}
	for n, s := range g.Servers() {
		_, isQuarantined := h.quarantineOf(r)
		require.False(t, isQuarantined, "%d ends", n)
		h.suspectEnd(r, s, brokenRun{})
	}
	k, ok := h.quarantineOf(r)
	require.True(t, ok)
	require.Equal(t, models.ReasonQuarantined, reasonOf(k))
	require.False(t, h.mayRetry(r, k, 1))
}

// BenchmarkQuarantineCheckPerSend measures what the quarantine check adds to a send, with the creation of a request: 24 ns
// while no server has ended under a request and 0.7 us while ends are known, most of it for the fingerprint. Without the
// check it is nothing.
func BenchmarkQuarantineCheckPerSend(b *testing.B) {
	for _, ends := range []int{0, 1} {
		b.Run(fmt.Sprint(ends), func(b *testing.B) {
			h := &Handler{ends: testBook(), clock: timer.NewReal(), dialer: backend.DirectDialer{}}
			for n := range ends {
				h.ends.AddListed(endOf(n), time.Now())
			}
			for b.Loop() {
				h.quarantineOf(&request{x: &front.Exchange{}})
			}
		})
	}
}

// TestABegunAnswerWaitsWhileItsRequestIsQuarantined guards against answers that end since their request is blamed, perhaps by mistake, for
// the ends of servers.
func TestABegunAnswerWaitsWhileItsRequestIsQuarantined(t *testing.T) {
	const blamedFor = 300 * time.Millisecond
	var h *Handler
	first := newTestServer(t, "1", func(c net.Conn, number int) {
		for n := range 3 {
			h.ends.AddListed(endOf(n), time.Now())
		}
		time.AfterFunc(blamedFor, func() { h.ends.Clear(endOf(0).Request) })
		closedBeforeEnd(c, number)
	})
	other := newTestServer(t, "2", afterLastEvent)
	g := chainGroup(first, other)
	h = chainHandler(t, g)
	status, body := readBody(t, callFront(t, streamFront(t, h, g), "1"))
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, onlyEvent, body)
}

// TestAQuarantinedRequestStaysWithItsSilentServer guards against requests that leave a sound server although they may go to no other one.
func TestAQuarantinedRequestStaysWithItsSilentServer(t *testing.T) {
	const silentFor = time.Second
	var h *Handler
	silent := newTestServer(t, "1", func(c net.Conn, number int) {
		for n := range 3 {
			h.ends.AddListed(endOf(n), time.Now())
		}
		time.Sleep(silentFor)
		sealed(c, number)
	})
	other := newTestServer(t, "2", sealed)
	other.server.Reserve(0)
	h = plainHandler(t, timer.NewReal())
	route := repeatRoute(2)
	require.Equal(t, http.StatusOK, readStatus(t, callFront(t, frontOf(t, h, route, []*testServer{silent, other}), "one")))
	require.Zero(t, requestCount([]*testServer{other}))
}

// TestACallerThatDoesNotLeaveIsToldSoonThatItsAnswerDoesNotGoOn guards against answers that stand still for as long as a quarantine lasts.
func TestACallerThatDoesNotLeaveIsToldSoonThatItsAnswerDoesNotGoOn(t *testing.T) {
	var h *Handler
	first := newTestServer(t, "1", func(c net.Conn, number int) {
		for n := range 3 {
			h.ends.AddListed(endOf(n), time.Now())
		}
		closedBeforeEnd(c, number)
	})
	g := chainGroup(first, newTestServer(t, "2", afterLastEvent))
	h = chainHandler(t, g)
	front := streamFrontWith(t, h, g, 100*time.Millisecond, 100*time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(callFront(t, front, "1")), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
