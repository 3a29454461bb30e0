package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAnAnswerEndsWhatWasConcludedFromSilence guards against a server that stays out of use after it has answered again.
func TestAnAnswerEndsWhatWasConcludedFromSilence(t *testing.T) {
	const suspicion = 3 * time.Second
	now := time.Unix(100, 0)
	s := NewServer(Entry{ID: "s"})
	s.Suspect(now.Add(suspicion))
	s.NoteSilent(Connected, now)
	s.Failed(now)
	require.False(t, s.Usable(now))
	now = now.Add(time.Second)
	s.NoteSilent(Connected, now)
	require.Equal(t, time.Second, s.SilentFor())
	s.NoteAnswer(now, now)
	require.True(t, s.Usable(now))
	require.Zero(t, s.SilentFor())

	s.Suspect(now.Add(suspicion))
	s.NoteAnswer(now, now)
	require.False(t, s.Usable(now), "others wait for a server that answers this instance")
}

// TestAnAnswerToAnotherInstanceEndsTheSilenceThatItReported guards against the same for what instances tell each other.
func TestAnAnswerToAnotherInstanceEndsTheSilenceThatItReported(t *testing.T) {
	now := time.Unix(100, 0)
	s := NewServer(Entry{ID: "s"})
	s.ApplySharedReport(SharedReport{ID: "s", Silent: true}, now)
	require.False(t, s.Usable(now))
	now = now.Add(2 * minNewer)
	s.ApplySharedReport(SharedReport{ID: "s"}, now)
	require.True(t, s.Usable(now))

	s.Suspect(now.Add(time.Second))
	s.NoteSilent(NotConnected, now)
	now = now.Add(2 * minNewer)
	s.ApplySharedReport(SharedReport{ID: "s"}, now)
	require.False(t, s.Usable(now), "it has not answered this instance")
}

// TestASilenceOfASecondCountsAsOneFailure guards against a server that all avoid after a silence, the more so the more work it had.
func TestASilenceOfASecondCountsAsOneFailure(t *testing.T) {
	now := time.Unix(100, 0)
	leave := func(s *Server) {
		for range 10 {
			s.LeftSilent(now)
		}
	}
	sound, hanging := NewServer(Entry{ID: "s"}), NewServer(Entry{ID: "h"})
	leave(sound)
	leave(hanging)
	require.Zero(t, sound.FailRate(), "it may go on")
	sound.Succeeded()
	require.InDelta(t, failWeight, sound.FailRate(), 0.01)
	now = now.Add(MaxSoundSilence)
	hanging.LeftSilent(now)
	require.Greater(t, hanging.FailRate(), 0.5, "it is silent for longer than a sound server")
}

// TestOneInstanceTellsOthersOfASilenceOnce guards against one instance with a bad path that keeps a server from all others.
func TestOneInstanceTellsOthersOfASilenceOnce(t *testing.T) {
	now := time.Unix(100, 0)
	here, there := NewServer(Entry{ID: "s"}), NewServer(Entry{ID: "s"})
	mark, out := now.Add(-time.Second), 0
	const step, steps = 100 * time.Millisecond, 50
	for range steps {
		here.NoteSilent(NotConnected, now)
		if r, ok := here.SharedReport(mark, now, true); ok {
			there.ApplySharedReport(r, now)
		}
		mark = now
		if !there.Usable(now) {
			out++
		}
		now = now.Add(step)
	}
	require.LessOrEqual(t, out, int(sharedSilenceTime/step))
}

// TestAnAnswerToAnotherInstanceEndsASilenceOverASoundPath guards against hundreds of queries to a server that has just answered again.
func TestAnAnswerToAnotherInstanceEndsASilenceOverASoundPath(t *testing.T) {
	for reachability, usable := range map[Reachability]bool{Connected: true, NotConnected: false, ReachableUnknown: false} {
		now := time.Unix(100, 0)
		s := NewServer(Entry{ID: "s"})
		s.Suspect(now.Add(time.Minute))
		s.NoteSilent(reachability, now)
		now = now.Add(2 * minNewer)
		s.ApplySharedReport(SharedReport{ID: "s"}, now)
		require.Equal(t, usable, s.Usable(now))
	}
}
