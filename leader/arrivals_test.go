package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestServersThatAppearOneAfterTheOtherAreWaitedFor follows a domain whose entries come back after a cut.
func TestServersThatAppearOneAfterTheOtherAreWaitedFor(t *testing.T) {
	start := time.Unix(100, 0)
	var a arrivals
	require.False(t, a.underWay(start), "nothing has appeared")
	for i := range 4 {
		a = a.next(start.Add(time.Duration(i) * time.Second))
	}
	last := start.Add(3 * time.Second)
	require.True(t, a.underWay(last.Add(arrivalTime/2)))
	require.False(t, a.underWay(last.Add(arrivalTime)), "nobody has followed")
	require.False(t, a.next(start.Add(arrivalsTime)).underWay(start.Add(arrivalsTime)), "not for ever")
	later := start.Add(time.Minute)
	require.True(t, a.next(later).underWay(later.Add(time.Second)), "they are waited for again the next time")
}
