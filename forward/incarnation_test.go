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
	require.True(t, server.Ended())
	require.Error(t, server.Context().Err())
	require.False(t, server.Usable(clock.Now()))
}
