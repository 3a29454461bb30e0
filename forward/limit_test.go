package forward

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/call"
	"junctioncross/platform/fake"
)

// TestARequestThatHasNoTurnAtAnyServerIsRefusedAtOnce lets the only server take one request in ten seconds.
func TestARequestThatHasNoTurnAtAnyServerIsRefusedAtOnce(t *testing.T) {
	d := newDesk(t, "1", sealed)
	s := plainFront(t, repeatRoute(), d)
	now := time.Now()
	d.server.NameLimit(call.Limit{Named: true, PerSecond: 0.1}, now, now)
	begun := time.Now()
	for n := range 3 {
		code, after := retryAfterAt(t, callFront(t, s, strconv.Itoa(n)))
		require.Equal(t, http.StatusServiceUnavailable, code)
		require.Greater(t, after, 2*time.Second)
	}
	require.Less(t, time.Since(begun), soonEnough)
	require.Zero(t, asked([]*desk{d}))
}

// TestAServerAtItsLimitLeavesItsRequestsToOthers lets one of two servers name a limit with its first answer.
func TestAServerAtItsLimitLeavesItsRequestsToOthers(t *testing.T) {
	limited := newDesk(t, "limited", func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, fake.PlainLimit("0.1"))
	})
	other := newDesk(t, "other", sealed)
	s := plainFront(t, repeatRoute(), limited, other)
	for n := range 40 {
		require.Equal(t, http.StatusOK, statusAt(t, callFront(t, s, strconv.Itoa(n))))
	}
	require.Equal(t, 1, asked([]*desk{limited}))
}
