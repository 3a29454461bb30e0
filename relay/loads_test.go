package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/demand"
	"junctioncross/relay"
)

// reportLoad makes instances report load until the test ends, each a stream under way and a memory for 300 sequences.
func reportLoad(t *testing.T, all []*instance) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i, one := range all {
		report := []demand.Report{{Service: "chat", UnderWay: i + 1, Room: 300, Lifetime: time.Second}}
		go func() {
			for ctx.Err() == nil {
				one.book.SetOwn(one.name, report, time.Now())
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
}

// knowsLoad returns a condition that an instance knows the totals of so many instances of a domain.
func knowsLoad(one *instance, domain string, instances int) func() bool {
	return func() bool {
		got, ok := one.book.Totals("chat", domain, time.Now())
		return ok && got.Instances == instances
	}
}

// runTwoDomains starts five instances, of which three are in the domain east.
func runTwoDomains(t *testing.T, s *store) []*instance {
	return runIn(t, 5, func(i int) string { return [...]string{"east", "east", "east", "west", "west"}[i] },
		func(caller string) relay.Store { return view{store: s, caller: caller} })
}

func TestAllInstancesLearnTheTotalsOfAllDomains(t *testing.T) {
	all := runTwoDomains(t, newStore())
	reportLoad(t, all)
	for _, one := range all {
		soon(t, knowsLoad(one, "east", 3))
		soon(t, knowsLoad(one, "west", 2))
	}
	got, _ := all[2].book.Totals("chat", "east", time.Now())
	require.Equal(t, 1+2+3, got.UnderWay)
	require.InDelta(t, 300, got.Room, 0)
	require.Less(t, got.Age, demand.FreshTime)
}

// TestTotalsComeFromTheStandbyRelayWhenTheRelayStops stops the relay of a domain of three.
func TestTotalsComeFromTheStandbyRelayWhenTheRelayStops(t *testing.T) {
	all := runTwoDomains(t, newStore())
	reportLoad(t, all)
	soon(t, knowsLoad(all[2], "east", 3))
	all[0].Stop()
	all[0].stop()
	soon(t, knowsLoad(all[2], "east", 2))
	soon(t, knowsLoad(all[1], "east", 2))
	soon(t, knowsLoad(all[4], "east", 2))
}
