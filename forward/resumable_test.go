package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// TestStreamsThatMayNotBeResumedDoNotKeepOthersFromLeaving starts many long streams that may not be resumed at a server that
// leaves, and a shorter one that may. Each round tries to move only a few streams, the longest first; if failed moves did not
// count, the long ones would use up every round.
func TestStreamsThatMayNotBeResumedDoNotKeepOthersFromLeaving(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	for n := range 2 * maxEvacuationTries {
		f, _ := connected(t, h, g, fmt.Sprint(n), 0, 1)
		route := *f.r.route
		route.RetryPolicy = 0
		f.r.route, f.expectedLifetime = &route, 2*time.Minute
	}
	f, conn := connected(t, h, g, "one", 0, 1)
	sendLeaveNotice(g.Servers()[0], clock)
	backlog := evacuationBacklog{}
	for range minLeaveNotice / watchPeriod {
		clock.Advance(watchPeriod)
		h.watch.evacuate(t.Context(), backlog, func(*inflight) *backend.Group { return g })
	}
	require.False(t, isOpen(conn))
	require.NotNil(t, f.takeNext())
}
