package relay_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/relay"
)

// TestInstancesAskAnotherDomainWhenTheirRelaysAreCutOff cuts the relay and the standby relay of a domain off from the store.
// The others must get updates through the relay of another domain and not ask the store.
func TestInstancesAskAnotherDomainWhenTheirRelaysAreCutOff(t *testing.T) {
	s := newStore()
	all := runIn(t, 5, func(i int) string { return [...]string{"east", "east", "east", "west", "west"}[i] },
		func(caller string) relay.Store { return view{store: s, caller: caller} })
	soon(t, func() bool { return all[2].age() < time.Second && all[3].Direct() })
	before := s.count("i-2")
	s.silence("i-0", true)
	s.silence("i-1", true)
	s.put("news", false)
	soon(t, func() bool { return all[2].has(1) && all[2].age() < 2*time.Second })
	require.Equal(t, before, s.count("i-2"))
}
