package forward

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/models"
)

// TestAStreamWhosePathClosedAfterItLeftItsServerIsAnswered has a stream that was handed over before its first event and finds no
// other path until its caller's time is over.
func TestAStreamWhosePathClosedAfterItLeftItsServerIsAnswered(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	f := newBegunStream(g, 2, 0)
	for _, s := range g.Servers() {
		s.SetAside(clock.Now().Add(time.Hour))
	}
	require.False(t, h.mayContinue(f, delivered{}, 1))
	require.True(t, h.mayContinue(f, handedOver{}, 1))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, instead := h.nextPath(ctx, f, handedOver{})
	require.IsType(t, failed{}, instead, "its former server may have run it")
	require.Equal(t, notRun{reason: models.ReasonNoRoom}, (&inflight{}).withoutPath(nil))
	require.Equal(t, notRun{reason: models.RetryRefused}, (&inflight{}).withoutPath(notRun{reason: models.RetryRefused}))
}
