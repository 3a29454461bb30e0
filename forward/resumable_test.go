package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// TestStreamsThatMayNotBeResumedDoNotKeepOthersFromLeaving lets many long answers that may not be resumed start at a server that leaves, with a
// shorter one that may.
func TestStreamsThatMayNotBeResumedDoNotKeepOthersFromLeaving(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newEngines(g))
	for n := range 2 * mostTries {
		f, _ := connected(t, h, g, fmt.Sprint(n), 0, 1)
		route := *f.r.route
		route.Repeat = 0
		f.r.route, f.life = &route, 2*time.Minute
	}
	f, conn := connected(t, h, g, "one", 0, 1)
	goodbye(g.Servers()[0], clock)
	leaving := departures{}
	for range spotNotice / watchPeriod {
		clock.Advance(watchPeriod)
		h.watch.evacuate(t.Context(), leaving, func(string) *backend.Group { return g })
	}
	require.False(t, isOpen(conn))
	require.NotNil(t, f.takeNext())
}
