package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// TestARepairKeepsAServerThatIsNewerThanTheCheckedGroup begins a diagnosis with a group of servers; then a server appears
// and gets a stream, and the diagnosis finds another server of that stream's path dead.
func TestARepairKeepsAServerThatIsNewerThanTheCheckedGroup(t *testing.T) {
	now := fourStages()
	servers := now.Servers()
	before := backend.NewGroup(now.Service(), []*backend.Server{servers[0], servers[2], servers[3], servers[4]})
	e := newFakeEngineClient(now, 3)
	h, clock := testHandler(t, e)
	f := newActiveStream(h, now, "one", 0, 0, 1, 2, 3)
	clock.Advance(140 * time.Millisecond)
	found := &findings{now: clock.Now(), dead: map[*backend.Server]bool{servers[3]: true}}
	require.NotPanics(t, func() { h.watch.repair(t.Context(), f, before, found) })
	require.Len(t, e.repairs["one"], 4)
	require.Equal(t, servers[1].Addr(), e.repairs["one"][1].Addr, "the new server stays on the path")
	require.Equal(t, servers[4].Addr(), e.repairs["one"][3].Addr)
}
