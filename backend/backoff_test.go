package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testServer(born int64) *Server {
	return NewServer(Entry{ID: "a", Service: "s", Addr: "127.0.0.1:1", Domain: "d", Slots: 1, Born: born})
}

func TestTheLaterOfTwoBackOffsHolds(t *testing.T) {
	s, now := testServer(1), time.Unix(100, 0)
	require.True(t, s.Usable(now))
	s.BackOff(now.Add(3 * time.Second))
	s.BackOff(now.Add(time.Second))
	require.False(t, s.Usable(now.Add(2*time.Second)))
	require.True(t, s.Usable(now.Add(3*time.Second)), "it is used again as soon as its back-off has ended")
	at, ok := s.BackOffEnd(now)
	require.True(t, ok)
	require.True(t, at.Equal(now.Add(3*time.Second)))
	_, ok = s.BackOffEnd(now.Add(3 * time.Second))
	require.False(t, ok)
	require.False(t, s.Leaving())
	require.False(t, s.Suspected(now), "a back-off does not make it a suspect")
}

func TestTheEndOfABackOffIsNotReportedWhileAnotherReasonHolds(t *testing.T) {
	s, now := testServer(1), time.Unix(100, 0)
	s.BackOff(now.Add(time.Second))
	s.SetAside(now.Add(time.Minute))
	_, ok := s.BackOffEnd(now)
	require.False(t, ok)
}

func TestALeaveNoticeOutlastsTheEntryOfItsIncarnation(t *testing.T) {
	s, now := testServer(1), time.Unix(100, 0)
	require.True(t, s.NoteLeaveNotice(now))
	require.False(t, s.NoteLeaveNotice(now.Add(time.Second)), "it is reported once")
	s.Update(Entry{ID: "a", Service: "s", Addr: "127.0.0.1:1", Domain: "d", Slots: 1, Born: 1})
	require.True(t, s.Leaving(), "an entry that does not say that it leaves is older than the notice")
	require.Equal(t, 2*time.Second, s.LeavingFor(now.Add(2*time.Second)))
	s.BackOff(now.Add(time.Minute))
	s.Remove()
	require.False(t, s.Ended(), "its entry has not said that it leaves, so that it goes on serving")
	again := testServer(1)
	again.Inherit(s)
	require.True(t, again.Leaving())
	require.True(t, again.BackedOff(now))
	require.Equal(t, 2*time.Second, again.LeavingFor(now.Add(2*time.Second)))
}

// TestTimesKeepTheMonotonicClockReading checks that stored times keep their reading of the monotonic clock. Without it,
// differences of times follow the wall clock, and are wrong after that has been set.
func TestTimesKeepTheMonotonicClockReading(t *testing.T) {
	s, now := testServer(1), time.Now()
	s.BackOff(now.Add(time.Minute))
	s.NoteLeaving(now)
	s.NoteLayers(now)
	for _, at := range []time.Time{s.backOff.load(), s.leavingSince.load(), s.layersAt.load()} {
		require.Contains(t, at.String(), " m=", "the reading of the monotonic clock")
	}
	s.ForgetLeaving()
	require.Zero(t, s.LeavingFor(now.Add(time.Second)))
	s.NoteLeaving(now.Add(time.Second))
	s.NoteLeaving(now.Add(time.Minute))
	require.Equal(t, time.Second, s.LeavingFor(now.Add(2*time.Second)), "the first time counts")
}

// BenchmarkUsable measures Usable, which each choice of a server calls for every server of the service, so that it must stay
// cheap: some 50 ns, of which the check for a back-off takes about 2.
func BenchmarkUsable(b *testing.B) {
	s, now := testServer(1), time.Unix(100, 0)
	for b.Loop() {
		s.Usable(now)
	}
}
