package forward

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/retry"
)

// soundSilence is for how long a sound server may be silent.
const soundSilence = 1200 * time.Millisecond

// TestAStreamTakenFromASilentServerIsNotGivenUpForLackOfAPath guards against a 502 some tenths of a second after all servers fell silent.
func TestAStreamTakenFromASilentServerIsNotGivenUpForLackOfAPath(t *testing.T) {
	const silentFor = 700 * time.Millisecond
	first := newTestServer(t, "1", func(c net.Conn, _ int) { _, _ = c.Read(make([]byte, 1)) })
	g := chainGroup(first, newTestServer(t, "2", streamed))
	h, e := chainHandler(t, g), newFakeEngineClient(g)
	h.engines = e
	setSilent := func(silent bool, servers ...*backend.Server) {
		for _, s := range servers {
			e.setSilent(s, silent)
		}
	}
	conn := callFront(t, streamFrontWith(t, h, g, 500*time.Millisecond, 200*time.Millisecond), "1")
	require.Eventually(t, func() bool { return len(h.watch.startingAt(g.Servers()[0])) == 1 }, testTimeout, time.Millisecond)
	f := h.watch.startingAt(g.Servers()[0])[0]
	f.first.Suspect(h.clock.Now().Add(suspectTime))
	next, ok := h.choosePathIn(f, g, nil)
	require.True(t, ok)
	setSilent(true, g.Servers()...)
	for _, s := range g.Servers() {
		h.applyReport(s, backend.Report{}, backend.ErrNoAnswer, "slow stream")
	}
	// No path is expected within the time that callers are thought to wait for a first event.
	q := h.queueOf("s")
	q.mu.Lock()
	q.outages = *constantSample(time.Minute)
	q.mu.Unlock()
	time.AfterFunc(silentFor, func() { setSilent(false, g.Servers()[1:]...) })
	f.next.Store(&next)
	require.NoError(t, f.conn.Close())
	require.Equal(t, http.StatusOK, readStatus(t, conn))
}

// playTime advances the clock in short steps for some time or until a condition holds, and reports whether it does. Queries to the server
// that are due at a step end before the next one.
func playTime(t *testing.T, h *Handler, clock *clockwork.FakeClock, server *backend.Server, d time.Duration, holds func() bool) bool {
	const step = 10 * time.Millisecond
	for end := clock.Now().Add(d); clock.Now().Before(end) && !holds(); {
		clock.Advance(step)
		h.querySilentServers(clock.Now())
		time.Sleep(2 * time.Millisecond)
		require.Eventually(t, func() bool {
			q := server.QueryState()
			return !q.QueriedAt.After(later(q.ReportedAt, q.AnsweredAt))
		}, testTimeout, time.Millisecond)
	}
	return holds()
}

// TestASilentServerHasNotEndedUnderItsRequest guards against evidence against requests whose server falls silent and goes on.
func TestASilentServerHasNotEndedUnderItsRequest(t *testing.T) {
	for name, c := range map[string]struct {
		silentFor time.Duration
		ended     bool
	}{
		"sound": {silentFor: time.Second},
		"dark":  {silentFor: time.Hour, ended: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := twoCopies()
			e := newFakeEngineClient(g)
			h, clock := testHandler(t, e)
			server, f := g.Servers()[0], newBegunStream(g, 2)
			e.setSilent(server, true)
			broke := clock.Now()
			h.suspectEnd(f.r, server, brokenRun{begun: true})
			confirmed := func() bool { return h.stats.Counter("quarantine_ends_total").Count() > 0 }
			playTime(t, h, clock, server, 4*time.Second, func() bool {
				e.setSilent(server, clock.Since(broke) < c.silentFor)
				return confirmed()
			})
			require.Equal(t, c.ended, confirmed())
			require.Equal(t, c.ended, h.ends.Size() > 0)
		})
	}
}

// TestASilentServerGetsWorkAsSoonAsItAnswers guards against servers that stay out of use for seconds after a silence.
func TestASilentServerGetsWorkAsSoonAsItAnswers(t *testing.T) {
	const atOnce = 500 * time.Millisecond
	g := twoCopies()
	e := newFakeEngineClient(g)
	h, clock := testHandler(t, e)
	server := g.Servers()[0]
	e.setSilent(server, true)
	server.Failed(clock.Now())
	h.queryState(server, "broken stream")
	play := func(d time.Duration, holds func() bool) bool { return playTime(t, h, clock, server, d, holds) }
	usable := func() bool { return server.Usable(clock.Now()) }
	require.True(t, play(time.Second, server.IsSilent))
	require.False(t, play(10*time.Second, usable), "it gets no new work while it is silent")
	e.setSilent(server, false)
	require.True(t, play(maxSilentQueryPeriod+atOnce, usable))
	require.False(t, play(time.Second, func() bool { return !usable() }))
	e.setSilent(server, true)
	h.queryState(server, "broken stream")
	require.True(t, play(time.Second, server.IsSilent))
	e.setSilent(server, false)
	require.True(t, play(atOnce, usable), "a silence of a second or so")
	require.EqualValues(t, 2, h.stats.Counter("server_silences_total").Count())
}

// TestAServerWithoutAnEntryThatFallsSilentHasNotEnded guards against a stream that is sent to more servers than its route allows.
func TestAServerWithoutAnEntryThatFallsSilentHasNotEnded(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	h, clock := testHandler(t, e)
	f := newBegunStream(g, 1, 0)
	server := g.Servers()[0]
	server.Remove()
	server.NoteLeaving(clock.Now())
	clock.Advance(h.settings.Load().DrainTime + time.Second)
	e.setSilent(server, true)
	h.queryFormer(t.Context(), activeServers(f.r.ran))
	require.False(t, server.Ended(), "it is silent")
	clock.Advance(backend.MaxSoundSilence)
	h.queryFormer(t.Context(), activeServers(f.r.ran))
	require.True(t, server.Ended(), "it is silent for longer than a sound server")
}

// deafDialer is the dialer of an instance whose next connections do not come up.
type deafDialer struct {
	backend.DirectDialer
	left atomic.Int64
}

// Dial implements backend.Dialer.
func (d *deafDialer) Dial(ctx context.Context, to backend.Endpoint) (net.Conn, error) {
	if d.left.Add(-1) >= 0 {
		return nil, errors.New("i/o timeout")
	}
	return d.DirectDialer.Dial(ctx, to)
}

// TestAPlainServerThatAcceptsNoConnectionForASecondHasNotEnded guards against evidence against sound requests of plain services.
func TestAPlainServerThatAcceptsNoConnectionForASecondHasNotEnded(t *testing.T) {
	for name, c := range map[string]struct {
		failures int64
		fate     fate
	}{
		"sound": {failures: 2, fate: fateAlive},
		"dark":  {failures: math.MaxInt64, fate: fateEnded},
	} {
		t.Run(name, func(t *testing.T) {
			ts, dialer := newTestServer(t, "1", sealed), &deafDialer{}
			dialer.left.Store(c.failures)
			h, clock := testHandlerWith(t, newFakeEngineClient(twoCopies()), dialer)
			found := make(chan fate, 1)
			go func() { found <- h.fateOf(ts.server, false, h.clock.Now()) }()
			require.Eventually(t, func() bool {
				clock.Advance(10 * time.Millisecond)
				return len(found) > 0
			}, testTimeout, time.Millisecond)
			require.Equal(t, c.fate, <-found)
		})
	}
}

// TestStreamsLeaveASilentServerThatWasJustQueried guards against streams that stay with a silent server since it is queried all the time.
func TestStreamsLeaveASilentServerThatWasJustQueried(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	h, clock := testHandler(t, e)
	server := g.Servers()[0]
	f, conn := connected(t, h, g, "one", 0, 1)
	e.setSilent(server, true)
	clock.Advance(stallLimit(f) + 2*healthyTime)
	h.fleetView.ApplySharedReports([]backend.SharedReport{{ID: "other"}}, clock.Now())
	h.queryState(server, reasonSilent)
	require.Eventually(t, server.IsSilent, testTimeout, time.Millisecond)
	clock.Advance(time.Millisecond)
	h.watch.diagnose(t.Context(), server, g, []*inflight{f})
	require.False(t, isOpen(conn))
}

// TestALateRefusalDoesNotSetAsideTheServerThatSentIt guards against a server that stays out of use after a silence of a second.
func TestALateRefusalDoesNotSetAsideTheServerThatSentIt(t *testing.T) {
	for name, c := range map[string]struct {
		named  int
		usable bool
	}{
		"itself":               {named: 0, usable: true},
		"the one it waits for": {named: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := twoCopies()
			h, clock := testHandler(t, newFakeEngineClient(g))
			h.ApplySettings(Settings{Domain: "a", Repeats: retry.Limit{Window: 10 * time.Second, Fixed: 10}, StallTime: 2 * time.Second})
			f, named := newBegunStream(g, 2), g.Servers()[c.named]
			f.first = g.Servers()[0]
			f.touch(h)
			clock.Advance(soundSilence)
			h.noteRefusal(f, &sentRequest{info: call.Answer{Status: http.StatusServiceUnavailable, Fault: named.Addr(), NotRun: true}})
			require.Equal(t, c.usable, named.Usable(clock.Now()))
		})
	}
}

// TestAServerThatHasJustAnsweredAgainIsNotSuspectedForItsSilence guards against a late report that keeps a server out of use for seconds.
func TestAServerThatHasJustAnsweredAgainIsNotSuspectedForItsSilence(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	h, clock := testHandler(t, e)
	first, server := g.Servers()[0], g.Servers()[1]
	usable := func() bool { return server.Usable(clock.Now()) }
	e.setSilent(server, true)
	h.queryState(server, "broken stream")
	require.True(t, playTime(t, h, clock, server, time.Second, server.IsSilent))
	e.setSilent(server, false)
	require.True(t, playTime(t, h, clock, server, time.Second, usable))
	e.awaits = map[string][]backend.Suspect{first.Addr(): {{ID: server.ID(), Addr: server.Addr()}}}
	diagnose := func() { h.watch.queryServers(t.Context(), first, g, map[*backend.Server]suspicion{first: {}}) }
	diagnose()
	require.True(t, usable(), "the report describes its silence")
	clock.Advance(time.Second)
	diagnose()
	require.False(t, usable(), "it is still waited for")
}

// TestStreamsThatLeaveASilentServerCountAsOneFailure guards against a server that streams avoid after a silence.
func TestStreamsThatLeaveASilentServerCountAsOneFailure(t *testing.T) {
	const streams, oneFailure = 20, 0.11
	g := twoCopies()
	e := newFakeEngineClient(g)
	h, clock := testHandler(t, e)
	server := g.Servers()[0]
	e.setSilent(server, true)
	for range streams {
		f := newBegunStream(g, 2)
		f.first = server
		h.handedOverFrom(f, server.Layers())
	}
	require.True(t, playTime(t, h, clock, server, time.Second, server.IsSilent))
	require.False(t, server.Usable(clock.Now()))
	e.setSilent(server, false)
	require.True(t, playTime(t, h, clock, server, time.Second, func() bool { return server.Usable(clock.Now()) }))
	require.Less(t, server.FailRate(), oneFailure)
}

// TestADiagnosisDoesNotMakeADarkServerReachable guards against a dark server that counts as silent whenever two short queries ask it.
func TestADiagnosisDoesNotMakeADarkServerReachable(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	server := g.Servers()[0]
	h.applyReport(server, backend.Report{}, backend.Unreachable(backend.ErrNoAnswer), reasonSilent)
	require.True(t, server.Unreachable())
	clock.Advance(time.Millisecond)
	h.applyReport(server, backend.Report{}, errBothUnanswered, "slow stream")
	require.True(t, server.Unreachable())
	clock.Advance(time.Millisecond)
	h.applyReport(server, backend.Report{}, backend.ErrNoAnswer, reasonSilent)
	require.False(t, server.Unreachable(), "a connection came up")
}

// TestAnEarlierQueryDoesNotOverrideALaterAnswer guards against a sound server that is suspected because of a query sent before its answer.
func TestAnEarlierQueryDoesNotOverrideALaterAnswer(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	server, earlier := g.Servers()[0], clock.Now()
	clock.Advance(time.Millisecond)
	h.applyReport(server, backend.Report{Layers: server.Layers()}, nil, "memory")
	clock.Advance(time.Millisecond)
	h.applyAnswer(stateQuery{server: server, sentAt: earlier, why: "memory"}, backend.Report{}, backend.ErrNoAnswer)
	require.True(t, server.Usable(clock.Now()))
	require.False(t, server.AnsweredSince(clock.Now()), "the answer is to a query that was sent before")
}

// TestBrokenPlainRequestsCheckTheirServerTogether guards against a connection for each broken request and check.
func TestBrokenPlainRequestsCheckTheirServerTogether(t *testing.T) {
	const requests = 20
	dialer := &deafDialer{}
	dialer.left.Store(math.MaxInt64)
	ts := newTestServer(t, "1", sealed)
	h, clock := testHandlerWith(t, newFakeEngineClient(twoCopies()), dialer)
	found := make(chan fate, requests)
	for range requests {
		go func() { found <- h.fateOf(ts.server, false, h.clock.Now()) }()
	}
	start := clock.Now()
	eventuallyAdvancing(t, clock, func() bool { return len(found) == requests })
	perSecond := int64(5)
	require.LessOrEqual(t, math.MaxInt64-dialer.left.Load(), perSecond*int64(clock.Since(start)/time.Second+1))
}
