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

// turningAway answers that the request was not run and when to come back, if there is a text for that.
func turningAway(retryAfter string) func(net.Conn, int) {
	return func(c net.Conn, _ int) { _, _ = io.WriteString(c, fake.PlainRefusal(retryAfter)) }
}

// retryAfterAt returns the status of the next answer and when its caller is to come back.
func retryAfterAt(t *testing.T, c net.Conn) (status int, after time.Duration) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(soonEnough)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

func repeatRoute() *catalog.Route {
	return &catalog.Route{Name: "r", Repeat: catalog.RepeatAlways, MaxAttempts: 2, Timeout: time.Hour, Objective: time.Hour}
}

// TestAServerIsLeftAloneForAsLongAsItAsks lets one of two servers want nothing for 20 s; the requests that come meanwhile go to the other one.
func TestAServerIsLeftAloneForAsLongAsItAsks(t *testing.T) {
	busy, other := newDesk(t, "busy", turningAway("20")), newDesk(t, "other", sealed)
	s := plainFront(t, repeatRoute(), busy, other)
	for n := range 40 {
		require.Equal(t, http.StatusOK, statusAt(t, callFront(t, s, strconv.Itoa(n))))
	}
	require.Equal(t, 1, asked([]*desk{busy}))
	now := time.Now()
	require.True(t, busy.server.BackedOff(now.Add(19*time.Second)))
	require.True(t, busy.server.Usable(now.Add(23*time.Second)), "no circuit has opened, and nothing else keeps work away")
}

// TestCallersAreToldToComeBackWhenTheFirstServerTakesWork lets all servers want nothing, for 20 and 40 s.
func TestCallersAreToldToComeBackWhenTheFirstServerTakesWork(t *testing.T) {
	desks := []*desk{newDesk(t, "1", turningAway("40")), newDesk(t, "2", turningAway("20"))}
	s := plainFront(t, repeatRoute(), desks...)
	for n := range 10 {
		code, after := retryAfterAt(t, callFront(t, s, strconv.Itoa(n)))
		require.Equal(t, http.StatusServiceUnavailable, code)
		require.Greater(t, after, 19*time.Second)
		require.Less(t, after, 40*time.Second)
	}
	require.Equal(t, 2, asked(desks), "each was asked once")
}

// TestRequestsChosenBeforeAServerAskedForNothingDoNotReachIt lets a server ask for nothing while requests that have chosen it open their
// connections.
func TestRequestsChosenBeforeAServerAskedForNothingDoNotReachIt(t *testing.T) {
	d := newDesk(t, "1", sealed)
	h := plainHandler(t, timer.NewReal())
	d.server.BackOff(time.Now().Add(time.Hour))
	var all sync.WaitGroup
	for range 20 {
		all.Go(func() {
			conn, err := h.connect(t.Context(), d.server, false)
			if !errors.Is(err, errBackedOff) {
				t.Errorf("connected to a server that wants nothing: %v, %v", conn, err)
			}
		})
	}
	all.Wait()
	require.Zero(t, asked([]*desk{d}))
}

// TestATimeThatNoServerShouldAskForIsBounded lets servers ask for none, next to none and a very long time.
func TestATimeThatNoServerShouldAskForIsBounded(t *testing.T) {
	for retryAfter, want := range map[string]time.Duration{"1000000000000": time.Hour, "0.001": leastBackOff, "0": 0, "": 0} {
		d := newDesk(t, "1", turningAway(retryAfter))
		s := plainFront(t, repeatRoute(), d)
		before := time.Now()
		require.Equal(t, http.StatusServiceUnavailable, statusAt(t, callFront(t, s, "one")))
		after := time.Now()
		if want == 0 {
			require.False(t, d.server.BackedOff(before), retryAfter)
			continue
		}
		require.True(t, d.server.BackedOff(before.Add(want-time.Millisecond)), retryAfter)
		require.False(t, d.server.BackedOff(after.Add(want+time.Duration(backOffSpread*float64(want)))), retryAfter)
	}
}

// TestAServerThatSaysFarewellInAnyAnswerLeaves lets servers say so in a success, a failure and a refusal, and in a report.
func TestAServerThatSaysFarewellInAnyAnswerLeaves(t *testing.T) {
	for _, status := range []string{"200 OK", "500 Internal Server Error", "503 Service Unavailable", "421 Misdirected Request"} {
		d := newDesk(t, "1", func(c net.Conn, _ int) {
			_, _ = io.WriteString(c, fake.PlainFarewell(status))
		})
		s := plainFront(t, repeatRoute(), d)
		statusAt(t, callFront(t, s, "one"))
		require.True(t, d.server.Leaving(), status)
		require.NotZero(t, d.server.LeavingFor(time.Now().Add(time.Second)), status)
	}
	h, clock := testHandler(t, nil)
	server := twoCopies().Servers()[0]
	h.believe(server, backend.Report{Notice: call.Notice{Leaving: true}, Pace: 1, Total: 10}, nil, "test")
	require.True(t, server.Leaving())
	require.Equal(t, time.Duration(0), server.LeavingFor(clock.Now()))
}

// TestAServerThatWantsNoQuestionsIsNotTakenAsGone lets a server turn the question for its state away.
func TestAServerThatWantsNoQuestionsIsNotTakenAsGone(t *testing.T) {
	h, clock := testHandler(t, newEngines(twoCopies()))
	terms := *h.terms.Load()
	terms.LongestBackOff = time.Hour
	h.SetTerms(terms)
	server := twoCopies().Servers()[0]
	h.believe(server, backend.Report{Notice: call.Notice{RetryAfter: 3 * time.Second}}, backend.ErrRefused, "test")
	require.False(t, server.Suspected(clock.Now()))
	require.True(t, server.BackedOff(clock.Now()))
	h.inquire(server, whyMemory)
	require.Zero(t, h.stats.Counter("inquiries_total{reason=\""+whyMemory+"\"}").Count(), "it is not asked again meanwhile")
}

// TestAServiceReturnsWithTheServersThatItNeeds lets servers of two copies of a model want nothing: there is a path again once one holder of
// each half has returned.
func TestAServiceReturnsWithTheServersThatItNeeds(t *testing.T) {
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
		"nobody":              {in(0, 0, 0, 0), 0},
		"one copy is left":    {in(5, 5, 0, 0), 0},
		"both first halves":   {in(3, 0, 7, 0), 3},
		"all":                 {in(9, 2, 4, 6), 4},
		"all, the other half": {in(1, 8, 1, 5), 5},
	} {
		var b laneBook
		at, known := b.returns(c.group, now)
		require.Equal(t, c.want > 0, known, name)
		if known {
			require.True(t, at.Equal(now.Add(time.Duration(c.want)*time.Second)), "%s: %s", name, at)
		}
	}
	g := in(5, 5, 5, 5)
	g.Servers()[1].Remove()
	g.Servers()[3].Remove()
	var b laneBook
	_, known := b.returns(g, now)
	require.False(t, known, "those that are left cannot make a path")
}

// TestAReturnIsWorkedOutAnewWhenOtherServersChange lets both holders of the first half want nothing, and the holders of the other half, which
// have asked for nothing, get no more work: the first half's return makes no path any more.
func TestAReturnIsWorkedOutAnewWhenOtherServersChange(t *testing.T) {
	now, g := time.Unix(100, 0), twoCopies()
	servers := g.Servers()
	servers[0].BackOff(now.Add(3 * time.Second))
	servers[2].BackOff(now.Add(7 * time.Second))
	var b laneBook
	at, known := b.returns(g, now)
	require.True(t, known)
	require.True(t, at.Equal(now.Add(3*time.Second)))
	servers[1].SetAside(now.Add(time.Minute))
	servers[3].SetAside(now.Add(time.Minute))
	_, known = b.returns(g, now)
	require.False(t, known)
	_, known = b.returns(twoCopies(), now)
	require.False(t, known, "another group has a path")
}
