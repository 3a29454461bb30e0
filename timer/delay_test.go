package timer_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"junctioncross/timer"
)

const (
	notePeriod  = 50 * time.Millisecond
	answerLimit = 300 * time.Millisecond
)

func TestAnInstanceInTimeDoesNotStretchItsTimeouts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := timer.New(clock)
	require.Equal(t, answerLimit, s.Patience(answerLimit), "nobody measures")
	begun := s.Now()
	s.NoteDelay(0, notePeriod)
	clock.Advance(notePeriod)
	s.NoteDelay(0, notePeriod)
	require.Equal(t, answerLimit, s.Patience(answerLimit))
	for range 5 {
		require.False(t, s.DelayedSince(begun, answerLimit), "a failure before the limit is none of the own delay")
		clock.Advance(notePeriod)
		s.NoteDelay(0, notePeriod)
	}
	require.False(t, s.DelayedSince(begun, answerLimit))
}

func TestOwnDelayIsNotTakenForTheSilenceOfOthers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := timer.New(clock)
	begun := s.Now()
	s.NoteDelay(0, notePeriod)
	clock.Advance(answerLimit)
	s.NoteDelay(200*time.Millisecond, notePeriod)
	require.True(t, s.DelayedSince(begun, answerLimit))
	require.Equal(t, answerLimit+800*time.Millisecond, s.Patience(answerLimit))
	clock.Advance(800 * time.Millisecond)
	s.NoteDelay(0, notePeriod)
	require.False(t, s.DelayedSince(begun, answerLimit), "a server that is really silent is found all the same")
	clock.Advance(2 * time.Second)
	s.NoteDelay(0, notePeriod)
	require.Equal(t, answerLimit, s.Patience(answerLimit), "a delay of long ago says nothing of the present")
}

func TestAProcessThatWasStoppedDoesNotFirstJudgeOthers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := timer.New(clock)
	s.NoteDelay(0, notePeriod)
	begun := s.Now()
	clock.Advance(10 * time.Second)
	require.True(t, s.DelayedSince(begun, answerLimit), "the time-out fires before the delay is noted")
	require.LessOrEqual(t, s.Patience(answerLimit), answerLimit+time.Second, "what it waits for from now on is not late")
	s.NoteDelay(10*time.Second, notePeriod)
	begun = s.Now()
	clock.Advance(s.Patience(answerLimit))
	s.NoteDelay(0, notePeriod)
	require.False(t, s.DelayedSince(begun.Add(time.Millisecond), answerLimit), "a wait that began after it was woken is judged as ever")
}
