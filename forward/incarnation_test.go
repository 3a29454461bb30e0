package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/models"
)

// TestARequestAtARestartedServerFailsAtOnce lets the handler learn that a silent server has restarted: the caller is
// answered at once, not at its deadline.
func TestARequestAtARestartedServerFailsAtOnce(t *testing.T) {
	ts := newTestServer(t, "1", nil)
	s := plainFront(t, onceRoute(), ts)
	c := callFront(t, s, "one")
	require.Eventually(t, func() bool { return requestCount([]*testServer{ts}) == 1 }, testTimeout, time.Millisecond)
	ts.server.MarkReplaced()
	require.Equal(t, http.StatusBadGateway, readStatus(t, c))
	require.Eventually(t, func() bool { return closedCount([]*testServer{ts}) == 1 }, testTimeout, time.Millisecond)
}

// TestTheReportOfAnotherIncarnationIsNotApplied applies reports of incarnations before and after the known one.
func TestTheReportOfAnotherIncarnationIsNotApplied(t *testing.T) {
	h, clock := testHandler(t, newFakeEngineClient(twoCopies()))
	server := backend.NewServer(backend.Entry{ID: "a", Service: "s", Addr: "127.0.0.1:1", Layers: models.Layers{End: 4}, Born: 2000})
	before := backend.Report{Born: 1000, Pace: 4, Used: 10, Total: 10}
	h.applyReport(server, before, nil, "test")
	require.InDelta(t, 1, server.Pace(clock.Now()), 0)
	require.False(t, server.Ended())
	h.applyReport(server, backend.Report{}, backend.ErrGarbled, "test")
	require.True(t, server.Usable(clock.Now()), "it has answered")
	after := backend.Report{Born: 3000, Pace: 1, Total: 10}
	h.applyReport(server, after, nil, "test")
	require.False(t, server.Usable(clock.Now()), "no new work until it is certain")
	h.applyReport(server, after, nil, "test")
	require.True(t, server.Ended())
	require.Error(t, server.Context().Err())
	require.False(t, server.Usable(clock.Now()))
}

// TestOneReportOfALaterStartEndsNothing guards against answers that are closed for a wrong number in one report, and a server that gets no
// work any more because of it.
func TestOneReportOfALaterStartEndsNothing(t *testing.T) {
	h, clock := testHandler(t, newFakeEngineClient(twoCopies()))
	server := backend.NewServer(backend.Entry{ID: "a", Service: "s", Addr: "127.0.0.1:1", Layers: models.Layers{End: 4}, Born: 2000})
	for _, born := range []int64{3000, 2000, 3000, 4000, 1000, 2000} {
		h.applyReport(server, backend.Report{Born: born, Pace: 1, Total: 10, Layers: server.Layers()}, nil, "test")
		require.NoError(t, server.Context().Err(), "what it runs goes on")
		require.False(t, server.Ended())
		require.False(t, server.Gone())
	}
	require.True(t, server.Usable(clock.Now()), "its own report has come since")
}
