package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"junctioncross/census"
)

func members(perDomain int) []census.Instance {
	var out []census.Instance
	for _, domain := range []string{"east", "west", "south"} {
		for n := range perDomain {
			out = append(out, census.Instance{
				Name: fmt.Sprintf("%s-%d", domain, n), Domain: domain, Addr: fmt.Sprintf("%s:%d", domain, n), Power: 0.2,
			})
		}
	}
	return out
}

// TestOneInstanceOfEachDomainAsksTheStoreFirst counts over all instances what each decides for itself.
func TestOneInstanceOfEachDomainAsksTheStoreFirst(t *testing.T) {
	all := members(12)
	relays := map[string]int{}
	for _, m := range all {
		ways := waysOf(m.Name, m.Domain, all)
		if ways[0].direct() {
			relays[m.Domain]++
			continue
		}
		require.True(t, ways[0].direct() || ways[0] == way{addr: ranked(all)[m.Domain][0].Addr}, "all ask the same relay")
	}
	require.Equal(t, map[string]int{"east": 1, "west": 1, "south": 1}, relays)
}

func TestTheStoreComesBeforeOtherDomainsAndNobodyAsksThemselves(t *testing.T) {
	all := members(4)
	for _, m := range all {
		ways := waysOf(m.Name, m.Domain, all)
		require.Contains(t, ways, way{})
		stored := false
		for _, w := range ways {
			require.NotEqual(t, m.Addr, w.addr)
			stored = stored || w.direct()
			if !stored {
				require.Contains(t, w.addr, m.Domain)
			}
		}
		require.NotContains(t, ways[len(ways)-1].addr, m.Domain, "at last a relay of another domain")
	}
}

func TestTheMostPowerfulInstanceIsTheRelayAndOneWithoutAddressIsNot(t *testing.T) {
	all := members(5)
	all[3].Power = 0.8
	all[1].Addr, all[1].Power = "", 2
	require.Equal(t, "east-3", ranked(all)["east"][0].Name)
	require.Len(t, ranked(all)["east"], 4)
}
