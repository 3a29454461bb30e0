package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/models"
)

// twoCopies returns a group with two copies of a model in one domain, each of two servers.
func twoCopies() *backend.Group {
	service := &catalog.Service{Name: "s", Engine: &catalog.Engine{
		Layers: 8, LayerMB: 100, TokenBytes: 8000, Step: time.Millisecond, ReadPerSecond: 1e5, UsualPrompt: 100, UsualAnswer: 40,
		Kinds: []catalog.Kind{{Name: "k", MemoryMB: 1000, StepPace: 1, ReadPace: 1}},
	}}
	var servers []*backend.Server
	for i, layers := range []models.Layers{{First: 0, End: 4}, {First: 4, End: 8}, {First: 0, End: 4}, {First: 4, End: 8}} {
		servers = append(servers, backend.NewServer(backend.Entry{
			ID: fmt.Sprint("s", i), Service: "s", Addr: fmt.Sprint("127.0.0.1:", i+1), Domain: "a", Kind: "k", Layers: layers,
		}))
	}
	return backend.NewGroup(service, servers)
}

func TestLanesAvoidAServerFromTheMomentThatItRefusesWork(t *testing.T) {
	g := twoCopies()
	var b laneCache
	now := time.Unix(100, 0)
	lanes, changed := b.get(g, now)
	require.Len(t, lanes, 2)
	require.True(t, changed)
	g.Servers()[1].NoteFull(now)
	lanes, changed = b.get(g, now)
	require.True(t, changed)
	require.Len(t, lanes, 1)
	for _, h := range lanes[0].Hops {
		require.NotEqual(t, 1, h.Server)
	}
	lanes, _ = b.get(g, now.Add(time.Minute))
	require.Len(t, lanes, 2, "it gets work again after a while")
}

func TestRequestsStayInTheirDomainUntilItIsNearlyFull(t *testing.T) {
	g := twoCopies()
	now := time.Unix(100, 0)
	var b laneCache
	lanes, _ := b.get(g, now)
	near := newLaneChoice(g, lanes, "a", 1, now)
	require.GreaterOrEqual(t, near.pick(), 0)
	for i := range near.load {
		near.load[i] = maxLaneLoad
	}
	require.Equal(t, -1, near.pick(), "a full fleet has no lane")
	far := newLaneChoice(g, lanes, "b", 1, now)
	require.GreaterOrEqual(t, far.pick(), 0, "another domain's lanes are used when there is none in the own")
}

// halves returns a group of two servers in two domains, each of which holds half of the model.
func halves() *backend.Group {
	g := twoCopies()
	var servers []*backend.Server
	for i, layers := range []models.Layers{{First: 0, End: 4}, {First: 4, End: 8}} {
		servers = append(servers, backend.NewServer(backend.Entry{
			ID: fmt.Sprint("h", i), Service: "s", Addr: fmt.Sprint("127.0.0.1:", i+1), Domain: []string{"a", "b"}[i], Kind: "k", Layers: layers,
		}))
	}
	return backend.NewGroup(g.Service(), servers)
}

// TestAFirstPathAcrossDomainsCountsOnceItHasSettled has a fleet that is still being placed: both domains lack layers, so
// servers are about to be moved and the first path is about to vanish.
func TestAFirstPathAcrossDomainsCountsOnceItHasSettled(t *testing.T) {
	var b laneCache
	now := time.Unix(100, 0)
	_, had := b.outage(halves(), now)
	require.False(t, had, "servers are about to move")
	_, had = b.outage(halves(), now.Add(settleTime-1))
	require.False(t, had)
	_, had = b.outage(halves(), now.Add(settleTime))
	require.True(t, had, "domains that cannot hold the model by themselves are served as well")
}

func TestAnInterruptedFirstPathHasToSettleAgain(t *testing.T) {
	var b laneCache
	now := time.Unix(100, 0)
	b.outage(halves(), now)
	b.outage(backend.NewGroup(halves().Service(), halves().Servers()[:1]), now.Add(settleTime/2))
	_, had := b.outage(halves(), now.Add(settleTime))
	require.False(t, had)
}

func TestAFirstPathWithinADomainCountsAtOnce(t *testing.T) {
	var b laneCache
	without, had := b.outage(twoCopies(), time.Unix(100, 0))
	require.Zero(t, without)
	require.True(t, had, "servers of a domain that lacks nothing stay where they are")
}
