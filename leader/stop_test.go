package leader

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"junctioncross/follow"
	"junctioncross/metrics"
	"junctioncross/testlog"
	"junctioncross/timer"
)

// indirect is an Upstream that never follows the store itself.
type indirect struct{}

// Direct implements Upstream.
func (indirect) Direct() bool { return false }

// TestNothingRunsOnAfterTheContextEnds starts a Leader and ends its context without a call of Stop: all of its goroutines must end,
// and Stop must return.
func TestNothingRunsOnAfterTheContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	l := New(ctx, nil, indirect{}, "a", follow.NewFleetView(), newFakeServers(), timer.New(clockwork.NewFakeClock()),
		metrics.New(), testlog.New(t))
	cancel()
	<-l.done
	require.Eventually(t, func() bool { return !runsNew() }, 5*time.Second, time.Millisecond)
	l.Stop()
}

// runsNew reports whether a goroutine that New started is running.
func runsNew() bool {
	stacks := make([]byte, 1<<20)
	return strings.Contains(string(stacks[:runtime.Stack(stacks, true)]), "leader.New.func")
}
