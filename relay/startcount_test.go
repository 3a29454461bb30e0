package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// minInstances returns the smallest number of instances by which any instance of the fleet divides shared limits.
func (s *startSimulation) minInstances() int {
	least := s.views[0].Instances()
	for _, view := range s.views {
		least = min(least, view.Instances())
	}
	return least
}

// TestSharedLimitsAreNotDividedByTooFewInstancesAfterAStart starts fleets in which most instances have no record in the
// store, and checks their counts for some seconds from the end of the first window of the retry limit.
func TestSharedLimitsAreNotDividedByTooFewInstancesAfterAStart(t *testing.T) {
	const window = 10 * time.Second
	for _, c := range []struct{ domains, each, strong int }{{3, 24, 8}, {3, 25, 8}, {3, 98, 10}, {5, 197, 10}} {
		t.Run(fmt.Sprintf("%d instances", c.domains*c.each), func(t *testing.T) {
			t.Parallel()
			var counts []int
			synctest.Test(t, func(*testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				b := newStartSimulation(c.domains, c.each, c.strong, 90)
				b.start(ctx)
				for time.Sleep(window); time.Since(b.begun) < window+5*time.Second; time.Sleep(time.Second) {
					counts = append(counts, b.minInstances())
				}
				cancel()
				time.Sleep(warmUpTime + readTime)
			})
			for _, n := range counts {
				require.GreaterOrEqual(t, n, c.domains*c.each, "counts by the second: %v", counts)
			}
		})
	}
}
