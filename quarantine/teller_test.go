package quarantine_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"junctioncross/metrics"
	"junctioncross/quarantine"
	"junctioncross/testlog"
	"junctioncross/timer"
)

const patience = 30 * time.Second

// register is a quarantine.Register that fails some times before it takes anything.
type register struct {
	mu       sync.Mutex
	failures int
	ends     []quarantine.End
	absolved []quarantine.End
}

// Tell implements quarantine.Register.
func (r *register) Tell(_ context.Context, ends, absolved []quarantine.End) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures > 0 {
		r.failures--
		return errors.New("turned away")
	}
	r.ends, r.absolved = append(r.ends, ends...), append(r.absolved, absolved...)
	return nil
}

func (r *register) told() (ends, absolved int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ends), len(r.absolved)
}

func TestEndsAreToldOnceTheRegisterTakesThem(t *testing.T) {
	b, r := quarantine.NewBook(terms), &register{failures: 2}
	teller := quarantine.NewTeller(t.Context(), b, r, timer.NewReal(), metrics.New(), testlog.New(t))
	one := request(1)
	for n := range 30 {
		b.Confirm(end(one, n, "a"), begin)
	}
	teller.Wake()
	require.Eventually(t, func() bool { ends, _ := r.told(); return ends == 30 }, patience, 5*time.Millisecond)
	b.Absolve(one)
	teller.Wake()
	require.Eventually(t, func() bool { _, absolved := r.told(); return absolved == 30 }, patience, 5*time.Millisecond)
}

// TestWhatAnotherInstanceCouldNotWriteIsWritten takes over ends twice, as they come with each question of that instance.
func TestWhatAnotherInstanceCouldNotWriteIsWritten(t *testing.T) {
	cut, whole := quarantine.NewBook(terms), quarantine.NewBook(terms)
	taken := &register{}
	away := quarantine.NewTeller(t.Context(), cut, &register{failures: 1 << 30}, timer.NewReal(), metrics.New(), testlog.New(t))
	there := quarantine.NewTeller(t.Context(), whole, taken, timer.NewReal(), metrics.New(), testlog.New(t))
	require.Empty(t, away.Untold())
	cut.Confirm(end(request(1), 1, "a"), begin)
	away.Wake()
	there.Adopt(away.Untold())
	there.Adopt(away.Untold())
	require.Eventually(t, func() bool { ends, _ := taken.told(); return ends == 1 }, patience, 5*time.Millisecond)
	require.Equal(t, 1, whole.Ends(request(1)))
}

// TestEndsThatTheStoreLostAreWrittenAgainByWhoWroteThem lets a store lose what two instances know and one of them wrote.
func TestEndsThatTheStoreLostAreWrittenAgainByWhoWroteThem(t *testing.T) {
	wrote, heard := quarantine.NewBook(terms), quarantine.NewBook(terms)
	first, second := &register{}, &register{}
	teller := quarantine.NewTeller(t.Context(), wrote, first, timer.NewReal(), metrics.New(), testlog.New(t))
	quarantine.NewTeller(t.Context(), heard, second, timer.NewReal(), metrics.New(), testlog.New(t))
	one := end(request(1), 1, "a")
	wrote.Confirm(one, begin)
	teller.Wake()
	require.Eventually(t, func() bool { ends, _ := first.told(); return ends == 1 }, patience, 5*time.Millisecond)
	wrote.Hear(one, begin)
	heard.Hear(one, begin)
	wrote.TellAgain()
	heard.TellAgain()
	require.Eventually(t, func() bool { ends, _ := first.told(); return ends == 2 }, patience, 5*time.Millisecond)
	ends, _ := second.told()
	require.Zero(t, ends)
	require.Equal(t, 1, heard.Ends(request(1)))
}
