package forward

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// TestASilentFirstServerIsHandledWhileItsStreamIsResent guards, under the race detector, against data races between the
// attempts of a stream and the handling of its first server as silent.
func TestASilentFirstServerIsHandledWhileItsStreamIsResent(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	f, _ := connected(t, h, g, "one", 0, 1)
	f.progressed.Store(false)
	clock.Advance(time.Second)
	none := backend.NewGroup(g.Service(), g.Servers()[:1])
	var both sync.WaitGroup
	both.Go(func() {
		for range 1000 {
			h.watch.moveStalledStreams(g.Servers()[0], none)
		}
	})
	both.Go(func() {
		for range 1000 {
			h.watch.remove(f)
			f.firstEventDue.Store(int64(time.Millisecond))
			h.watch.add(f)
		}
	})
	both.Wait()
	require.Nil(t, f.takeNext())
}
