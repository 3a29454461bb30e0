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

// TestARequestBeyondAllServerRateLimitsIsRefusedAtOnce sends requests while the rate limit of the only server allows one in
// ten seconds.
func TestARequestBeyondAllServerRateLimitsIsRefusedAtOnce(t *testing.T) {
	ts := newTestServer(t, "1", sealed)
	s := plainFront(t, retryRoute(), ts)
	now := time.Now()
	ts.server.UpdateLimit(call.Limit{Named: true, PerSecond: 0.1}, now, now)
	begun := time.Now()
	for n := range 3 {
		code, after := readRetryAfter(t, callFront(t, s, strconv.Itoa(n)))
		require.Equal(t, http.StatusServiceUnavailable, code)
		require.Greater(t, after, 2*time.Second)
	}
	require.Less(t, time.Since(begun), testTimeout)
	require.Zero(t, requestCount([]*testServer{ts}))
}

// TestRequestsAvoidAServerAtItsRateLimit sends requests to two servers, one of which names a rate limit in its first answer.
func TestRequestsAvoidAServerAtItsRateLimit(t *testing.T) {
	limited := newTestServer(t, "limited", func(c net.Conn, _ int) {
		_, _ = io.WriteString(c, fake.PlainRateLimit("0.1"))
	})
	other := newTestServer(t, "other", sealed)
	s := plainFront(t, retryRoute(), limited, other)
	for n := range 40 {
		require.Equal(t, http.StatusOK, readStatus(t, callFront(t, s, strconv.Itoa(n))))
	}
	require.Equal(t, 1, requestCount([]*testServer{limited}))
}
