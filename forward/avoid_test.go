package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/chain"
	"junctioncross/models"
)

// pathsIn returns lanes of two stages in a domain, one for each pair of servers.
func pathsIn(domain string, pairs ...[2]int) []chain.Lane {
	var out []chain.Lane
	for _, p := range pairs {
		hops := []chain.Hop{
			{Server: p[0], Layers: models.Layers{First: 0, End: 4}}, {Server: p[1], Layers: models.Layers{First: 4, End: 8}},
		}
		out = append(out, chain.Lane{Path: chain.Path{Hops: hops, Step: time.Millisecond}, Sequences: 100, Domain: domain})
	}
	return out
}

// twoDomains returns a group whose servers 0 to 3 are in domain a and 4 to 7 in domain b, and its lanes: in each domain, every first
// server with every second one.
func twoDomains() (*backend.Group, []chain.Lane) {
	service := twoCopies().Service()
	var servers []*backend.Server
	for i := range 8 {
		layers := models.Layers{First: 0, End: 4}
		if i%4 >= 2 {
			layers = models.Layers{First: 4, End: 8}
		}
		servers = append(servers, backend.NewServer(backend.Entry{
			ID: fmt.Sprint("s", i), Service: "s", Addr: fmt.Sprint("127.0.0.1:", i+1), Domain: "ab"[i/4 : i/4+1], Kind: "k", Layers: layers,
		}))
	}
	lanes := pathsIn("a", [2]int{0, 2}, [2]int{0, 3}, [2]int{1, 2}, [2]int{1, 3})
	return backend.NewGroup(service, servers), append(lanes, pathsIn("b", [2]int{4, 6}, [2]int{5, 7})...)
}

// rejected returns a stream that was rejected on paths, by the server with the number at of each.
func rejected(g *backend.Group, now time.Time, at int, paths ...chain.Lane) *inflight {
	f := &inflight{}
	for _, p := range paths {
		f.assign(g, p.Hops)
		f.noteRejection(g.Servers()[p.Hops[at].Server], now)
		f.release()
	}
	return f
}

// drawnAfter returns which lanes a stream of domain a may draw; full lists the lanes without room.
func drawnAfter(f *inflight, g *backend.Group, lanes []chain.Lane, now time.Time, full ...int) []int {
	c := &laneChoice{lanes: lanes, domain: "a", load: make([]float64, len(lanes)), avoid: f.avoid(g, now), timeLeft: time.Minute}
	for _, i := range full {
		c.load[i] = 1
	}
	drawn := drawnShares(c)
	var out []int
	for i := -1; i < len(lanes); i++ {
		if drawn[i] > 0 {
			out = append(out, i)
		}
	}
	return out
}

// TestARetryTakesAPathThatSharesNoServerWithTheRejectedOne rejects a stream on the first lane of its domain.
func TestARetryTakesAPathThatSharesNoServerWithTheRejectedOne(t *testing.T) {
	g, lanes := twoDomains()
	now := time.Unix(100, 0)
	f := rejected(g, now, 1, lanes[0])
	require.Equal(t, []int{3, 4, 5}, drawnAfter(f, g, lanes, now), "lanes 0 and 2 pass the bad server, lane 1 its first server")
	require.Equal(t, []int{1}, drawnAfter(f, g, lanes, now, 3, 4, 5), "the bad server alone is left out where the rest is full")
	require.Equal(t, []int{-1}, drawnAfter(f, g, lanes, now, 1, 3, 4, 5), "the bad server is not asked again at once")
	later := now.Add(rejectionTime)
	require.Equal(t, []int{0, 2}, drawnAfter(f, g, lanes, later, 1, 3, 4, 5), "it is once its rejection no longer speaks")
	require.Equal(t, []int{3, 4, 5}, drawnAfter(f, g, lanes, later), "but not while there is another path")
}

// TestARetryGoesToAnotherDomainWhereTheOwnOneIsBad has both second servers of the own domain reject a stream.
func TestARetryGoesToAnotherDomainWhereTheOwnOneIsBad(t *testing.T) {
	g, lanes := twoDomains()
	now := time.Unix(100, 0)
	f := rejected(g, now, 1, lanes[0], lanes[3])
	require.Equal(t, []int{4, 5}, drawnAfter(f, g, lanes, now))
}

// TestARetryDoesNotLeaveForASlowerOrACrossingPath has only lanes apart from the rejected one that are too slow or cross domains.
func TestARetryDoesNotLeaveForASlowerOrACrossingPath(t *testing.T) {
	g, lanes := twoDomains()
	now := time.Unix(100, 0)
	f := rejected(g, now, 1, lanes[0])
	lanes[3].Crossings, lanes[4].Crossings = 1, 1
	lanes = lanes[:5]
	require.Contains(t, drawnAfter(f, g, lanes, now), 1)
}

// TestAnAcceptedStreamNoLongerLeavesTheServersOfARejectedPath has a stream accepted after a rejection.
func TestAnAcceptedStreamNoLongerLeavesTheServersOfARejectedPath(t *testing.T) {
	g, lanes := twoDomains()
	now := time.Unix(100, 0)
	f := rejected(g, now, 1, lanes[0])
	f.noteAccepted()
	require.Equal(t, []int{1, 3, 4, 5}, drawnAfter(f, g, lanes, now.Add(time.Minute)), "the server that rejected it is still left out")
	require.Len(t, drawnAfter(&inflight{}, g, lanes, now), len(lanes), "a stream that was not rejected draws from all")
}

// TestWithoutLanesAPathIsChosenWithoutTheServerThatRejected chooses among all servers, as where missing servers leave no lane.
func TestWithoutLanesAPathIsChosenWithoutTheServerThatRejected(t *testing.T) {
	g := twoCopies()
	now := time.Unix(100, 0)
	h, _ := testHandler(t, nil)
	need := chain.Need{Prompt: 10, Tokens: 20, Domain: "a"}
	for at := range g.Servers() {
		f := rejected(g, now, 0, pathsIn("a", [2]int{at, at ^ 1})...)
		state := h.chainState(g, now)
		state.avoid = f.avoid(g, now)
		path, ok := chain.Choose(g.Graph(), state, need)
		require.True(t, ok)
		for _, hop := range path.Hops {
			require.NotEqual(t, at, hop.Server)
		}
	}
}
