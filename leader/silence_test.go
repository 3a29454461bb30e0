package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// TestASilentServerKeepsItsPlaceInTheLayout guards against layers that are moved because a sound server is silent for a second.
func TestASilentServerKeepsItsPlaceInTheLayout(t *testing.T) {
	const suspicion = 3 * time.Second
	f, leader := placedFleet(t, "a")
	given, s := f.given, f.soleHolder()
	silent := func(d time.Duration) {
		for start := f.clock.Now(); f.clock.Since(start) <= d; {
			s.view.Suspect(f.clock.Now().Add(suspicion))
			s.view.NoteSilent(backend.Connected, f.clock.Now())
			f.rounds(t, leader, roundPeriod)
		}
	}
	silent(backend.MaxSoundSilence - 2*roundPeriod)
	s.view.NoteAnswer(f.clock.Now(), f.clock.Now())
	f.rounds(t, leader, 5*time.Second)
	require.Equal(t, given, f.given, "orders because of a silence")
	silent(backend.MaxSoundSilence + 2*roundPeriod)
	f.rounds(t, leader, 5*time.Second)
	require.Greater(t, f.given, given, "the layers of a server that has ended are placed elsewhere")
}

// TestTheLayersOfAServerThatAcceptsNoConnectionArePlacedElsewhereAtOnce guards against waiting for a dark server as for a silent one.
func TestTheLayersOfAServerThatAcceptsNoConnectionArePlacedElsewhereAtOnce(t *testing.T) {
	f, leader := placedFleet(t, "a")
	given := f.given
	f.soleHolder().view.NoteSilent(backend.NotConnected, f.clock.Now())
	f.rounds(t, leader, 2*roundPeriod)
	require.Greater(t, f.given, given)
}
