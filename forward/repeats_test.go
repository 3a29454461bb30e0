package forward

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/timer"
)

// TestARequestThatReachedNoServerTakesNoRepeat lets the server that is chosen first have ended.
func TestARequestThatReachedNoServerTakesNoRepeat(t *testing.T) {
	ended, other := newDesk(t, "ended", nil), newDesk(t, "other", sealed)
	require.NoError(t, ended.listener.Close())
	other.server.Observe(false)
	h := plainHandler(t, timer.NewReal())
	s := frontOf(t, h, repeatRoute(), []*desk{ended, other})
	require.Equal(t, http.StatusOK, statusAt(t, callFront(t, s, "1")))
	require.NotContains(t, scrape(t, h), "jx_repeats_total", "one request arrived")
}

// TestARepeatThatReachedNoServerServesForTheNextOne lets three servers be chosen in turn: one turns the request away, one has ended, one
// answers.
func TestARepeatThatReachedNoServerServesForTheNextOne(t *testing.T) {
	away, ended, other := newDesk(t, "away", turningAway("20")), newDesk(t, "ended", nil), newDesk(t, "other", sealed)
	require.NoError(t, ended.listener.Close())
	ended.server.Observe(false)
	for range 3 {
		other.server.Observe(false)
	}
	h := plainHandler(t, timer.NewReal())
	s := frontOf(t, h, repeatRoute(), []*desk{away, ended, other})
	require.Equal(t, http.StatusOK, statusAt(t, callFront(t, s, "1")))
	require.Equal(t, 1, asked([]*desk{away}))
	require.Contains(t, scrape(t, h), "jx_repeats_total{service=\"s\"} 1\n", "two requests arrived")
}
