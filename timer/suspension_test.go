package timer_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"junctioncross/timer"
)

// machine is a machine that can be suspended: its steady clock stands then, while the other goes on.
type machine struct {
	*clockwork.FakeClock
	begun  time.Time
	asleep time.Duration
	fails  bool
}

func newMachine(t *testing.T) (*machine, *timer.Service) {
	fake := clockwork.NewFakeClock()
	m := &machine{FakeClock: fake, begun: fake.Now()}
	s, err := timer.NewOver(fake, m.sinceBoot)
	require.NoError(t, err)
	return m, s
}

func (m *machine) sinceBoot() (time.Duration, error) {
	if m.fails {
		return 0, errors.New("no such clock")
	}
	return time.Hour + m.Since(m.begun) + m.asleep, nil
}

func TestTimeGoesOnWhileTheMachineIsSuspended(t *testing.T) {
	m, s := newMachine(t)
	heard := s.Now()
	m.Advance(time.Second)
	gap, err := s.Look()
	require.NoError(t, err)
	require.Zero(t, gap)
	require.Equal(t, time.Second, s.Since(heard))
	m.asleep = 8 * time.Second
	gap, err = s.Look()
	require.NoError(t, err)
	require.Equal(t, 8*time.Second, gap)
	require.Equal(t, 9*time.Second, s.Since(heard))
	require.Equal(t, heard.Add(time.Second), s.Steady(s.Now()))
	gap, err = s.Look()
	require.NoError(t, err)
	require.Zero(t, gap, "it is told once")
	m.asleep += time.Second
	gap, err = s.Look()
	require.NoError(t, err)
	require.Equal(t, time.Second, gap)
	require.Equal(t, 9*time.Second, s.Suspended())
}

func TestAClockThatCannotBeReadIsAnError(t *testing.T) {
	m, s := newMachine(t)
	m.fails = true
	_, err := s.Look()
	require.Error(t, err)
	_, err = timer.NewOver(m, m.sinceBoot)
	require.Error(t, err)
}

// TestDeadlinesPassWhileTheMachineIsSuspended lets one of two deadlines pass in a suspension and the other one come sooner by it.
func TestDeadlinesPassWhileTheMachineIsSuspended(t *testing.T) {
	m, s := newMachine(t)
	passed, stopPassed := s.WithDeadline(t.Context(), s.Now().Add(5*time.Second))
	defer stopPassed()
	later, stopLater := s.WithDeadline(t.Context(), s.Now().Add(20*time.Second))
	defer stopLater()
	m.asleep = 8 * time.Second
	_, err := s.Look()
	require.NoError(t, err)
	<-passed.Done()
	require.NoError(t, later.Err())
	m.Advance(12*time.Second - 1)
	require.NoError(t, later.Err())
	m.Advance(1)
	<-later.Done()
}

func TestASuspensionIsToldOnce(t *testing.T) {
	m, s := newMachine(t)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	told := make(chan time.Duration)
	go s.Watch(ctx, func(gap time.Duration, _ error) { told <- gap })
	require.NoError(t, m.BlockUntilContext(t.Context(), 1))
	m.asleep = 3 * time.Second
	m.Advance(time.Second)
	require.Equal(t, 3*time.Second, <-told)
}

func TestTheMachinesOwnClocksCanBeRead(t *testing.T) {
	s, err := timer.NewSuspendable()
	require.NoError(t, err)
	_, err = s.Look()
	require.NoError(t, err)
}

// BenchmarkALook is what each request pays for not taking old keys for new ones after a suspension: 0.3 us with one call of the system.
func BenchmarkALook(b *testing.B) {
	s, err := timer.NewSuspendable()
	require.NoError(b, err)
	for b.Loop() {
		if _, err := s.Look(); err != nil {
			b.Fatal(err)
		}
	}
}
