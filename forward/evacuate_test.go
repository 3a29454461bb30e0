package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/models"
)

// leave has a server announce in its entry that it leaves.
func leave(s *backend.Server) {
	s.Update(backend.Entry{ID: s.ID(), Leaving: true, Layers: s.Layers()})
}

// TestAStreamIsEvacuatedFromALeavingServer has the second server of a path leave while another one holds its layers.
func TestAStreamIsEvacuatedFromALeavingServer(t *testing.T) {
	g := twoCopies()
	e := newEngines(g)
	h, _ := testHandler(t, e)
	f := flying(h, g, "one", 0, 0, 1)
	require.Nil(t, h.partToLeave(f), "no server leaves yet")
	leave(g.Servers()[1])
	require.Equal(t, g.Servers()[1], h.partToLeave(f))
	require.True(t, h.watch.evacuateOne(t.Context(), f, g))
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.repairs["one"]) == 2 && e.repairs["one"][1].Addr == g.Servers()[3].Addr()
	}, 10*time.Second, time.Millisecond)
	require.Nil(t, h.partToLeave(f))
}

// TestAStreamIsNotEvacuatedToAnotherDomain has no other holder of the layers in the domain.
func TestAStreamIsNotEvacuatedToAnotherDomain(t *testing.T) {
	service := twoCopies().Service()
	entry := func(id, domain string, first int) backend.Entry {
		return backend.Entry{
			ID: id, Service: "s", Addr: "127.0.0.1:" + id, Domain: domain, Kind: "k", Layers: models.Layers{First: first, End: first + 4},
		}
	}
	g := backend.NewGroup(service, []*backend.Server{
		backend.NewServer(entry("1", "a", 0)), backend.NewServer(entry("2", "a", 4)), backend.NewServer(entry("3", "b", 4)),
	})
	h, _ := testHandler(t, newEngines(g))
	f := flying(h, g, "one", 0, 0, 1)
	leave(g.Servers()[1])
	require.False(t, h.watch.evacuateOne(t.Context(), f, g))
	require.Zero(t, f.repairs, "a search for a path does not count as a repair")
}

// TestStreamsAreEvacuatedFromAServerThatMayBeLeaving has the entry of a server vanish around an outage of the store, and come
// back.
func TestStreamsAreEvacuatedFromAServerThatMayBeLeaving(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newEngines(g))
	f := flying(h, g, "one", 0, 0, 1)
	part := g.Servers()[1]
	part.Doubt(true)
	part.NoteLeaving(clock.Now())
	require.Equal(t, part, h.partToLeave(f))
	require.True(t, h.watch.evacuateOne(t.Context(), f, g))
	part.Doubt(false)
	part.ForgetLeaving()
	other := flying(h, g, "other", 0, 0, 1)
	require.Nil(t, h.partToLeave(other))
}

// TestAStreamThatMayOutlastItsServerIsEvacuated checks that the leave notice is taken to be propagationTime old.
func TestAStreamThatMayOutlastItsServerIsEvacuated(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newEngines(g))
	f := flying(h, g, "one", 0, 0, 1)
	goodbye(g.Servers()[1], clock)
	f.life = h.terms.Load().DrainTime - propagationTime
	require.Nil(t, h.partToLeave(f))
	f.life++
	require.Equal(t, g.Servers()[1], h.partToLeave(f))
}
