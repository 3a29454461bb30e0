package forward

import (
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// TestAServiceThatWasNeverPlacedIsColdUntilItsFirstPathIsExpected has a service of which some layers have had no holder since
// the instance started.
func TestAServiceThatWasNeverPlacedIsColdUntilItsFirstPathIsExpected(t *testing.T) {
	h, clock := testHandler(t, nil)
	cold := backend.NewGroup(halves().Service(), halves().Servers()[:1])
	clock.Advance(firstPathTime / 5)
	left, isCold := h.coldTimeLeft(cold)
	require.True(t, isCold)
	require.Equal(t, firstPathTime-firstPathTime/5, left, "until then the instance expects a path")
	clock.Advance(firstPathTime)
	_, isCold = h.coldTimeLeft(cold)
	require.False(t, isCold, "it is no longer being placed")
}

func TestAServiceIsNotColdWhileItsServersAreNotKnownOrHoldAllLayers(t *testing.T) {
	h, _ := testHandler(t, nil)
	_, isCold := h.coldTimeLeft(backend.NewGroup(halves().Service(), nil))
	require.False(t, isCold, "the servers will be known in a moment")
	_, isCold = h.coldTimeLeft(halves())
	require.False(t, isCold, "there is a path, though it may not stay")
}

// TestAServiceThatHadAPathIsNotCold removes a server from a complete service: its layers are loaded elsewhere or served from
// another domain, so a path may be back at any moment.
func TestAServiceThatHadAPathIsNotCold(t *testing.T) {
	h, clock := testHandler(t, nil)
	g := twoCopies()
	h.laneCacheOf(g.Service().Name).outage(g, clock.Now())
	_, isCold := h.coldTimeLeft(backend.NewGroup(g.Service(), g.Servers()[:1]))
	require.False(t, isCold)
}
