package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/platform/fake"
	"junctioncross/timer"
)

// refusing answers that the request was not run, with a Retry-After header unless its text is empty.
func refusing(retryAfter string) func(net.Conn, int) {
	return func(c net.Conn, _ int) { _, _ = io.WriteString(c, fake.PlainRefusal(retryAfter)) }
}

// readRetryAfter returns the status of the next answer and its Retry-After time.
func readRetryAfter(t *testing.T, c net.Conn) (status int, after time.Duration) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

func retryRoute() *catalog.Route {
	return &catalog.Route{Name: "r", RetryPolicy: catalog.RetryAlways, MaxAttempts: 2, Timeout: time.Hour, Objective: time.Hour}
}

// TestAServerGetsNoRequestsDuringItsBackOff lets one of two servers ask for no requests for 20 s; the requests of that time
// go to the other one.
func TestAServerGetsNoRequestsDuringItsBackOff(t *testing.T) {
	busy, other := newTestServer(t, "busy", refusing("20")), newTestServer(t, "other", sealed)
	s := plainFront(t, retryRoute(), busy, other)
	for n := range 40 {
		require.Equal(t, http.StatusOK, readStatus(t, callFront(t, s, strconv.Itoa(n))))
	}
	require.Equal(t, 1, requestCount([]*testServer{busy}))
	now := time.Now()
	require.True(t, busy.server.BackedOff(now.Add(19*time.Second)))
	require.True(t, busy.server.Usable(now.Add(23*time.Second)), "its circuit is closed and it is not set aside")
}

// TestRetryAfterIsTheEndOfTheShortestBackOff lets all servers ask for no requests, for 20 and 40 s.
func TestRetryAfterIsTheEndOfTheShortestBackOff(t *testing.T) {
	servers := []*testServer{newTestServer(t, "1", refusing("40")), newTestServer(t, "2", refusing("20"))}
	s := plainFront(t, retryRoute(), servers...)
	for n := range 10 {
		code, after := readRetryAfter(t, callFront(t, s, strconv.Itoa(n)))
		require.Equal(t, http.StatusServiceUnavailable, code)
		require.Greater(t, after, 19*time.Second)
		require.Less(t, after, 40*time.Second)
	}
	require.Equal(t, 2, requestCount(servers), "each got one request")
}

// TestABackOffAlsoHoldsForRequestsThatHaveChosenTheServer lets a server back off after requests have chosen it and before
// they open their connections.
func TestABackOffAlsoHoldsForRequestsThatHaveChosenTheServer(t *testing.T) {
	ts := newTestServer(t, "1", sealed)
	h := plainHandler(t, timer.NewReal())
	ts.server.BackOff(time.Now().Add(time.Hour))
	var all sync.WaitGroup
	for range 20 {
		all.Go(func() {
			conn, err := h.connect(t.Context(), &request{}, destination{server: ts.server})
			if !errors.Is(err, errBackedOff) {
				t.Errorf("connected to a backed-off server: %v, %v", conn, err)
			}
		})
	}
	all.Wait()
	require.Zero(t, requestCount([]*testServer{ts}))
}

// TestBackOffTimesAreBounded lets servers send no Retry-After time, a very short one and a very long one.
func TestBackOffTimesAreBounded(t *testing.T) {
	for retryAfter, want := range map[string]time.Duration{"1000000000000": time.Hour, "0.001": minBackOff, "0": 0, "": 0} {
		ts := newTestServer(t, "1", refusing(retryAfter))
		s := plainFront(t, retryRoute(), ts)
		before := time.Now()
		require.Equal(t, http.StatusServiceUnavailable, readStatus(t, callFront(t, s, "one")))
		after := time.Now()
		if want == 0 {
			require.False(t, ts.server.BackedOff(before), retryAfter)
			continue
		}
		require.True(t, ts.server.BackedOff(before.Add(want-time.Millisecond)), retryAfter)
		require.False(t, ts.server.BackedOff(after.Add(want+time.Duration(backOffJitter*float64(want)))), retryAfter)
	}
}

// TestALeaveNoticeInAnyAnswerMarksTheServerAsLeaving lets servers send the notice with a success, a failure and a refusal,
// and in a report.
func TestALeaveNoticeInAnyAnswerMarksTheServerAsLeaving(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Internal Server Error", "503 Service Unavailable", "421 Misdirected Request"} {
		ts := newTestServer(t, "1", func(c net.Conn, _ int) {
			_, _ = io.WriteString(c, fake.PlainLeaveNotice(status))
		})
		s := plainFront(t, retryRoute(), ts)
		readStatus(t, callFront(t, s, "one"))
		require.True(t, ts.server.Leaving(), status)
		require.NotZero(t, ts.server.LeavingFor(time.Now().Add(time.Second)), status)
	}
	h, clock := testHandler(t, nil)
	server := twoCopies().Servers()[0]
	h.applyReport(server, backend.Report{Notice: call.Notice{Leaving: true}, Pace: 1, Total: 10}, nil, "test")
	require.True(t, server.Leaving())
	require.Equal(t, time.Duration(0), server.LeavingFor(clock.Now()))
}

// TestARefusedStateQueryDoesNotMarkTheServerAsSilent lets a server refuse a state query with a Retry-After time.
func TestARefusedStateQueryDoesNotMarkTheServerAsSilent(t *testing.T) {
	h, clock := testHandler(t, newFakeEngineClient(twoCopies()))
	settings := *h.settings.Load()
	settings.LongestBackOff = time.Hour
	h.ApplySettings(settings)
	server := twoCopies().Servers()[0]
	h.applyReport(server, backend.Report{Notice: call.Notice{RetryAfter: 3 * time.Second}}, backend.ErrRefused, "test")
	require.False(t, server.Suspected(clock.Now()))
	require.True(t, server.BackedOff(clock.Now()))
	h.queryIfActive(server, reasonMemory)
	require.Zero(t, h.stats.Counter("inquiries_total{reason=\""+reasonMemory+"\"}").Count(), "it is not queried during its back-off")
}

// TestAServiceReturnsOnceBackedOffServersFormALane lets servers of two copies of a model back off: there is a path again
// once one server of each half has returned.
func TestAServiceReturnsOnceBackedOffServersFormALane(t *testing.T) {
	now := time.Unix(100, 0)
	in := func(seconds ...int) *backend.Group {
		g := twoCopies()
		for i, s := range seconds {
			if s > 0 {
				g.Servers()[i].BackOff(now.Add(time.Duration(s) * time.Second))
			}
		}
		return g
	}
	for name, c := range map[string]struct {
		group *backend.Group
		want  int
	}{
		"none":                {in(0, 0, 0, 0), 0},
		"one copy is left":    {in(5, 5, 0, 0), 0},
		"both first halves":   {in(3, 0, 7, 0), 3},
		"all":                 {in(9, 2, 4, 6), 4},
		"all, the other half": {in(1, 8, 1, 5), 5},
	} {
		var b laneCache
		at, known := b.nextLaneAt(c.group, now)
		require.Equal(t, c.want > 0, known, name)
		if known {
			require.True(t, at.Equal(now.Add(time.Duration(c.want)*time.Second)), "%s: %s", name, at)
		}
	}
	g := in(5, 5, 5, 5)
	g.Servers()[1].Remove()
	g.Servers()[3].Remove()
	var b laneCache
	_, known := b.nextLaneAt(g, now)
	require.False(t, known, "the remaining servers form no path")
}

// TestReturnTimeIsRecomputedWhenOtherServersChange lets both servers of the first half back off, and then sets aside the
// servers of the second half: the return of the first half no longer makes a path.
func TestReturnTimeIsRecomputedWhenOtherServersChange(t *testing.T) {
	now, g := time.Unix(100, 0), twoCopies()
	servers := g.Servers()
	servers[0].BackOff(now.Add(3 * time.Second))
	servers[2].BackOff(now.Add(7 * time.Second))
	var b laneCache
	at, known := b.nextLaneAt(g, now)
	require.True(t, known)
	require.True(t, at.Equal(now.Add(3*time.Second)))
	servers[1].SetAside(now.Add(time.Minute))
	servers[3].SetAside(now.Add(time.Minute))
	_, known = b.nextLaneAt(g, now)
	require.False(t, known)
	_, known = b.nextLaneAt(twoCopies(), now)
	require.False(t, known, "all servers of this group are usable")
}
