package forward

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/catalog"
)

// TestARequestIsRetriedIfItsServerEndsBeforeTheFirstEvent has a server leave and end while it reads the tokens of a request
// that at most one server may run at a time.
func TestARequestIsRetriedIfItsServerEndsBeforeTheFirstEvent(t *testing.T) {
	g := twoCopies()
	h, _ := testHandler(t, newFakeEngineClient(g, 0))
	f := newBegunStream(g, 1)
	f.r.route.RetryPolicy = catalog.RetryResume
	f.first = g.Servers()[0]
	announceLeaving(f.first)
	last := h.brokenStream(t.Context(), f, io.ErrUnexpectedEOF)
	require.False(t, f.r.x.Begun())
	require.True(t, h.mayContinue(f, last, 1))
}
