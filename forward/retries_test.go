package forward

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/timer"
)

// TestARequestThatReachedNoServerUsesNoRetry sends a request whose first chosen server has ended.
func TestARequestThatReachedNoServerUsesNoRetry(t *testing.T) {
	ended, other := newTestServer(t, "ended", nil), newTestServer(t, "other", sealed)
	require.NoError(t, ended.listener.Close())
	other.server.Observe(false)
	h := plainHandler(t, timer.NewReal())
	s := frontOf(t, h, retryRoute(), []*testServer{ended, other})
	require.Equal(t, http.StatusOK, readStatus(t, callFront(t, s, "1")))
	require.NotContains(t, scrape(t, h), "jx_repeats_total", "one request arrived")
}

// TestARetryThatReachedNoServerIsReusedForTheNextAttempt sends a request for which three servers are chosen in turn: one
// refuses it, one has ended, one answers.
func TestARetryThatReachedNoServerIsReusedForTheNextAttempt(t *testing.T) {
	refuses, ended, other := newTestServer(t, "away", refusing("20")), newTestServer(t, "ended", nil), newTestServer(t, "other", sealed)
	require.NoError(t, ended.listener.Close())
	ended.server.Observe(false)
	for range 3 {
		other.server.Observe(false)
	}
	h := plainHandler(t, timer.NewReal())
	s := frontOf(t, h, retryRoute(), []*testServer{refuses, ended, other})
	require.Equal(t, http.StatusOK, readStatus(t, callFront(t, s, "1")))
	require.Equal(t, 1, requestCount([]*testServer{refuses}))
	require.Contains(t, scrape(t, h), "jx_repeats_total{service=\"s\"} 1\n", "two requests arrived")
}
