package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/chain"
	"junctioncross/models"
)

// drawnShares draws many lanes and returns how often each was drawn.
func drawnShares(c *laneChoice) map[int]float64 {
	const draws = 20000
	out := map[int]float64{}
	for range draws {
		out[c.pick()] += 1.0 / draws
	}
	return out
}

func lane(domain string, step time.Duration, server int) chain.Lane {
	hops := []chain.Hop{{Server: server, Layers: models.Layers{First: 0, End: 8}}}
	return chain.Lane{Path: chain.Path{Hops: hops, Step: step}, Sequences: 100, Domain: domain}
}

func TestLanesAreDrawnByRoomSpeedAndDomain(t *testing.T) {
	c := &laneChoice{domain: "a", load: make([]float64, 3), lanes: []chain.Lane{
		lane("a", 10*time.Millisecond, 0), lane("b", 10*time.Millisecond, 1), lane("b", 20*time.Millisecond, 2),
	}}
	s := drawnShares(c)
	require.InEpsilon(t, ownDomainWeight, s[0]/s[1], 0.25, "lanes of the own domain are preferred")
	require.InEpsilon(t, 4, s[1]/s[2], 0.4, "half as fast is worth a quarter")
	c.load[0] = maxLaneLoad
	s = drawnShares(c)
	require.Zero(t, s[0], "a full lane gets nothing")
	c.load[1], c.load[2] = 1, 1
	require.Equal(t, -1, c.pick(), "a full fleet has no lane")
}

// TestALaneCountsAsFullAfterItsServerRefusedWork has two lanes, and one server refuses work for want of memory.
func TestALaneCountsAsFullAfterItsServerRefusedWork(t *testing.T) {
	g := twoCopies()
	var b laneCache
	now := time.Unix(100, 0)
	lanes, _ := b.get(g, now)
	require.Len(t, lanes, 2)
	g.Servers()[1].NoteMemoryFull(now)
	lanes, changed := b.get(g, now)
	require.False(t, changed)
	require.Len(t, lanes, 2)
	picked := lanes[newLaneChoice(g, lanes, "a", 1, now).pick()]
	for _, h := range picked.Hops {
		require.NotEqual(t, 1, h.Server)
	}
}

// TestALaneIsAsFullAsItsFullestServer reports nearly full memory for the second server of a lane only. Without the
// report, the work of other instances would not show.
func TestALaneIsAsFullAsItsFullestServer(t *testing.T) {
	g := twoCopies()
	var b laneCache
	now := time.Unix(100, 0)
	lanes, _ := b.get(g, now)
	g.Servers()[lanes[0].Hops[1].Server].SetMemory(990, 1000, 0, now)
	c := newLaneChoice(g, lanes, "a", 1, now)
	require.InDelta(t, 0.99, c.load[0], 1e-9)
	require.Zero(t, c.load[1])
	require.Equal(t, 1, c.pick())
}

func TestAServerThatIsCrowdedOnlyByOthersIsQueriedForItsMemory(t *testing.T) {
	g := twoCopies()
	e := newFakeEngineClient(g)
	h, clock := testHandler(t, e)
	clock.Advance(time.Minute)
	p := &prober{handler: h, allowed: 1}
	p.probe(g)
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.queries) == 1
	}, 10*time.Second, time.Millisecond)
	require.Less(t, p.allowed, 1.0)
	p.probe(g)
	require.Len(t, e.queries, 1, "no more than the instance's share of the queries")
}
