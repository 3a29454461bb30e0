package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/models"
)

// announceLeaving has a server announce in its entry that it leaves.
func announceLeaving(s *backend.Server) {
	s.Update(backend.Entry{ID: s.ID(), Leaving: true, Layers: s.Layers()})
}

// TestAStreamIsEvacuatedFromALeavingServer has the second server of a path leave while another one holds its layers.
func TestAStreamIsEvacuatedFromALeavingServer(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	h, _ := testHandler(t, e)
	f := newActiveStream(h, g, "one", 0, 0, 1)
	require.Nil(t, h.serverToLeave(f), "no server leaves yet")
	announceLeaving(g.Servers()[1])
	require.Equal(t, g.Servers()[1], h.serverToLeave(f))
	require.True(t, h.watch.evacuateOne(t.Context(), f, g))
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.repairs["one"]) == 2 && e.repairs["one"][1].Addr == g.Servers()[3].Addr()
	}, 10*time.Second, time.Millisecond)
	require.Nil(t, h.serverToLeave(f))
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
	h, _ := testHandler(t, newFakeEngineClient(g))
	f := newActiveStream(h, g, "one", 0, 0, 1)
	announceLeaving(g.Servers()[1])
	require.False(t, h.watch.evacuateOne(t.Context(), f, g))
	require.Zero(t, f.repairs, "a search for a path does not count as a repair")
}

// TestStreamsAreEvacuatedFromAServerThatMayBeLeaving has the entry of a server vanish around an outage of the store, and come
// back.
func TestStreamsAreEvacuatedFromAServerThatMayBeLeaving(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	f := newActiveStream(h, g, "one", 0, 0, 1)
	server := g.Servers()[1]
	server.SetPossiblyLeaving(true)
	server.NoteLeaving(clock.Now())
	require.Equal(t, server, h.serverToLeave(f))
	require.True(t, h.watch.evacuateOne(t.Context(), f, g))
	server.SetPossiblyLeaving(false)
	server.ForgetLeaving()
	other := newActiveStream(h, g, "other", 0, 0, 1)
	require.Nil(t, h.serverToLeave(other))
}

// TestAStreamThatMayOutlastItsServerIsEvacuated checks that the leave notice is taken to be propagationTime old.
func TestAStreamThatMayOutlastItsServerIsEvacuated(t *testing.T) {
	g := twoCopies()
	h, clock := testHandler(t, newFakeEngineClient(g))
	f := newActiveStream(h, g, "one", 0, 0, 1)
	sendLeaveNotice(g.Servers()[1], clock)
	f.expectedLifetime = h.settings.Load().DrainTime - propagationTime
	require.Nil(t, h.serverToLeave(f))
	f.expectedLifetime++
	require.Equal(t, g.Servers()[1], h.serverToLeave(f))
}
