package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// TestASilentServerIsNotQueriedMoreOftenTheMoreInstancesThereAre guards against a rate that grows with the fleet.
func TestASilentServerIsNotQueriedMoreOftenTheMoreInstancesThereAre(t *testing.T) {
	const seconds, step = 30, 10 * time.Millisecond
	for _, instances := range []int{8, 40, 87, 985} {
		start, queries := time.Unix(100, 0), 0
		servers := make([]*backend.Server, instances)
		for i := range servers {
			servers[i] = backend.NewServer(backend.Entry{ID: "s"})
			servers[i].NoteQuery(start)
			servers[i].NoteSilent(backend.Connected, start)
		}
		period := silentQueryPeriod(instances, true)
		for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(step) {
			for _, s := range servers {
				if silentQueryDue(s, period, now) {
					s.NoteQuery(now)
					queries++
				}
			}
		}
		require.LessOrEqual(t, queries, int(probesPerSecond)*seconds, "%d instances", instances)
	}
}
