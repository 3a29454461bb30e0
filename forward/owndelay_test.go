package forward

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/retry"
)

// ownDelay is by how much the instance of these tests gets the processor too late.
const ownDelay = 200 * time.Millisecond

// noteDelay records that the instance is late, until the fake clock is advanced again.
func noteDelay(h *Handler) { h.clock.NoteDelay(ownDelay, time.Hour) }

// TestAnInstanceThatIsLateTakesNoServerForSilent guards against diagnoses that blame servers for the instance's own lack of processor time.
func TestAnInstanceThatIsLateTakesNoServerForSilent(t *testing.T) {
	for name, late := range map[string]bool{"late": true, "in time": false} {
		t.Run(name, func(t *testing.T) {
			g := twoCopies()
			e, server := newFakeEngineClient(g), g.Servers()[0]
			e.setSilent(server, true)
			h, clock := testHandler(t, e)
			q := stateQuery{server: server, sentAt: h.clock.Now(), timeout: queryTimeout, why: reasonMemory}
			clock.Advance(queryTimeout)
			if late {
				noteDelay(h)
			}
			require.Equal(t, !late, h.applyAnswer(q, backend.Report{}, backend.ErrNoAnswer))
			require.Equal(t, late, server.Usable(clock.Now()))
			require.Equal(t, !late, server.IsSilent())
		})
	}
}

func TestAnInstanceThatIsLateFindsAServerThatNeverAnswers(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	e.setSilent(g.Servers()[0], true)
	h, clock := testHandler(t, e)
	noteDelay(h)
	q := stateQuery{server: g.Servers()[0], sentAt: h.clock.Now(), timeout: queryTimeout, why: reasonMemory}
	clock.Advance(h.clock.Patience(queryTimeout))
	noteDelay(h)
	require.True(t, h.applyAnswer(q, backend.Report{}, backend.ErrNoAnswer))
	require.False(t, q.server.Usable(clock.Now()))
}

func TestAnInstanceThatIsLateBelievesThatNothingListens(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	q := stateQuery{server: g.Servers()[0], sentAt: h.clock.Now(), timeout: queryTimeout, why: reasonMemory}
	clock.Advance(queryTimeout)
	noteDelay(h)
	require.True(t, h.applyAnswer(q, backend.Report{}, backend.NotListening(backend.ErrNoAnswer)))
	require.True(t, q.server.Ended())
}

// TestAnInstanceThatIsLateTakesNoStreamForStalled guards against hand-overs of streams whose events wait for the instance itself.
func TestAnInstanceThatIsLateTakesNoStreamForStalled(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	f := newBegunStream(g, 2)
	f.touch(h)
	f.progressed.Store(true)
	clock.Advance(stallLimit(f) + time.Millisecond)
	require.True(t, h.watch.stalled(f))
	noteDelay(h)
	require.False(t, h.watch.stalled(f))
	clock.Advance(h.clock.Patience(0))
	noteDelay(h)
	require.True(t, h.watch.stalled(f), "it is stalled for longer than the instance is late")
}

// TestAnInstanceThatIsLateKeepsPlainRequestsWithTheirServers guards against retries of requests whose answers wait for the instance itself.
func TestAnInstanceThatIsLateKeepsPlainRequestsWithTheirServers(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	h.ApplySettings(Settings{Domain: "a", Repeats: retry.Limit{Window: 10 * time.Second, Fixed: 10}})
	f := newBegunStream(g, 2)
	f.r.route.Objective = 300 * time.Millisecond
	ctx, end := h.withSilenceLimit(context.Background(), f.r, g.Servers()[:1])
	defer end()
	limit := silenceFactor * f.r.route.Objective
	require.Eventually(t, func() bool { return clock.BlockUntilContext(t.Context(), 1) == nil }, testTimeout, time.Millisecond)
	noteDelay(h)
	clock.Advance(limit)
	require.Never(t, func() bool { return ctx.Err() != nil }, 50*time.Millisecond, time.Millisecond)
}
