package tunnel

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/membership"
)

func testPeers() (*peers, []membership.Instance, func() float64) {
	members := []membership.Instance{
		{Name: "near-1", Domain: "a", Addr: "near-1"},
		{Name: "near-2", Domain: "a", Addr: "near-2"},
		{Name: "far-1", Domain: "b", Addr: "far-1"},
		{Name: "far-2", Domain: "b", Addr: "far-2"},
	}
	return newPeers("a"), members, rand.New(rand.NewPCG(1, 1)).Float64
}

func namesOf(members []membership.Instance) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}

func TestInstancesOfTheOwnDomainAreAskedFirst(t *testing.T) {
	p, members, random := testPeers()
	order := namesOf(p.order(members, time.Unix(0, 0), random))
	require.ElementsMatch(t, []string{"near-1", "near-2"}, order[:2])
	require.Len(t, order, 4)
}

func TestInstancesWithoutAPathArePassedOverForAWhile(t *testing.T) {
	p, members, random := testPeers()
	now := time.Unix(0, 0)
	p.note("near-1", reply{verdict: NoPath}, now)
	p.noteLost("near-2", now)
	require.ElementsMatch(t, []string{"far-1", "far-2"}, namesOf(p.order(members, now, random)))
	require.Len(t, p.order(members, now.Add(lostTime), random), 4)
}

func TestTunnelsAreSpreadOverTheInstancesThatReachServers(t *testing.T) {
	p, members, random := testPeers()
	now := time.Unix(0, 0)
	carried := map[string]uint16{}
	for range 100 {
		first := p.order(members, now, random)[0]
		carried[first.Name]++
		p.note(first.Addr, reply{verdict: Opened, carried: carried[first.Name]}, now)
	}
	for _, m := range members {
		require.Greater(t, carried[m.Name], uint16(15), "%s of %v", m.Name, carried)
	}
	for range carried["near-1"] {
		p.noteEnded("near-1", now)
	}
	require.Equal(t, "near-1", p.order(members, now, random)[0].Name)
}

func TestTheWordOfAnInstanceThatReachesOtherServersCounts(t *testing.T) {
	p, members, random := testPeers()
	now := time.Unix(0, 0)
	p.note("near-1", reply{verdict: Opened}, now)
	p.note("near-1", reply{verdict: Unreachable}, now)
	p.note("near-2", reply{verdict: Unreachable}, now)
	order := namesOf(p.order(members, now, random))
	require.Contains(t, order, "near-1")
	require.NotContains(t, order, "near-2")
}

func TestInstancesThatAreGoneAreForgotten(t *testing.T) {
	p, _, _ := testPeers()
	now := time.Unix(0, 0)
	p.noteLost("old", now)
	p.noteLost("new", now.Add(2*forgetTime))
	require.Len(t, p.byAddr, 1)
}
