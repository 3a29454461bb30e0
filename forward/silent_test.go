package forward

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// TestAStreamWhoseConnectionHasFallenSilentGoesOnOnANewOne lets nothing come for a stream although all servers of its path are well and
// move another one, before and after its first event.
func TestAStreamWhoseConnectionHasFallenSilentGoesOnOnANewOne(t *testing.T) {
	for name, moved := range map[string]bool{"before the first event": false, "midway": true} {
		t.Run(name, func(t *testing.T) {
			g := twoCopies()
			h, clock := testHandler(t, newEngines(g))
			f := flying(h, g, "silent", 0, 0, 1)
			f.moved.Store(moved)
			ours, theirs := net.Pipe()
			t.Cleanup(func() { _ = theirs.Close() })
			f.conn = &backend.Conn{Conn: ours}
			look := func() { h.watch.look(t.Context(), f.first, g, []*inflight{f}) }
			other := flying(h, g, "other", 0, 0, 1)
			clock.Advance(lookAgain)
			look()
			require.NoError(t, ours.SetDeadline(time.Time{}), "a server may be slow")
			clock.Advance(patienceOf(f.r.route) / 2)
			look()
			require.NoError(t, ours.SetDeadline(time.Time{}), "the other stream does not move either")
			other.touch(h)
			look()
			require.Error(t, ours.SetDeadline(time.Time{}), "its connection is given up while its caller still waits")
			require.False(t, f.first.Suspected(clock.Now()), "the server is well")
		})
	}
}
