package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/membership"
)

func members(perDomain int) []membership.Instance {
	var out []membership.Instance
	for _, domain := range []string{"east", "west", "south"} {
		for n := range perDomain {
			out = append(out, membership.Instance{
				Name: fmt.Sprintf("%s-%d", domain, n), Domain: domain, Addr: fmt.Sprintf("%s:%d", domain, n), Power: 0.2,
			})
		}
	}
	return out
}

// TestOneInstanceOfEachDomainAsksTheStoreFirst ranks the members as each instance does on its own: all of a domain must agree
// on the relay.
func TestOneInstanceOfEachDomainAsksTheStoreFirst(t *testing.T) {
	all := members(12)
	relays := map[string]int{}
	for _, m := range all {
		upstreams := upstreamsOf(m.Name, m.Domain, all)
		if upstreams[0].direct() {
			relays[m.Domain]++
			continue
		}
		require.True(t, upstreams[0].direct() || upstreams[0] == upstream{addr: ranked(all)[m.Domain][0].Addr}, "all ask the same relay")
	}
	require.Equal(t, map[string]int{"east": 1, "west": 1, "south": 1}, relays)
}

// TestInstancesWithRelaysAskTheStoreLast also checks that the relay and the standby relay ask the store before other domains,
// and that the polls of one domain are spread over the others.
func TestInstancesWithRelaysAskTheStoreLast(t *testing.T) {
	all := members(12)
	pollers := map[string]int{}
	for _, m := range all {
		upstreams := upstreamsOf(m.Name, m.Domain, all)
		relays := ranked(all)[m.Domain]
		own := []upstream{{addr: relays[0].Addr}, {addr: relays[1].Addr}}
		switch m.Name {
		case relays[0].Name:
			require.Equal(t, upstream{}, upstreams[0])
		case relays[1].Name:
			require.Equal(t, []upstream{own[0], {}}, upstreams[:2])
		default:
			require.Equal(t, own, upstreams[:2])
			require.Len(t, upstreams, 5)
			require.Equal(t, upstream{}, upstreams[4])
			pollers[upstreams[2].addr]++
		}
		for _, u := range upstreams {
			require.NotEqual(t, m.Addr, u.addr)
		}
		for _, u := range upstreams[2:] {
			require.NotContains(t, u.addr, m.Domain)
		}
	}
	require.Len(t, pollers, 3)
	for relay, n := range pollers {
		require.Greater(t, n, 1, relay)
	}
}

func TestTheMostPowerfulInstanceIsTheRelayAndOneWithoutAddressIsNot(t *testing.T) {
	all := members(5)
	all[3].Power = 0.8
	all[1].Addr, all[1].Power = "", 2
	require.Equal(t, "east-3", ranked(all)["east"][0].Name)
	require.Len(t, ranked(all)["east"], 4)
}
