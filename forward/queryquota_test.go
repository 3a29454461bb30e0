package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// TestInstancesShareTheQueriesOfDiagnoses has 87 instances whose streams are slow on all of 99 servers for 20 s: each instance
// would ask the nine servers of a path every 250 ms.
func TestInstancesShareTheQueriesOfDiagnoses(t *testing.T) {
	const instances, servers, path = 87, 99, 9
	now := time.Unix(1000, 0)
	quotas := make([]*queryQuota, instances)
	for i := range quotas {
		quotas[i] = newQueryQuota(now)
	}
	for range path {
		require.True(t, quotas[0].take(servers, instances, now), "the first diagnosis asks a whole path at once")
	}
	total := path
	for ; now.Before(time.Unix(1020, 0)); now = now.Add(diagnosePeriod) {
		for _, q := range quotas {
			for range path {
				if q.take(servers, instances, now) {
					total++
				}
			}
		}
	}
	require.LessOrEqual(t, float64(total), queryBurst*instances+20*queriesPerServer*servers)
	require.GreaterOrEqual(t, float64(total), 0.9*20*queriesPerServer*servers, "the quota is used")
}

func TestAClockThatGoesBackGivesNoQueries(t *testing.T) {
	now := time.Unix(1000, 0)
	q := newQueryQuota(now)
	for range int(queryBurst) {
		require.True(t, q.take(1, 1, now))
	}
	require.False(t, q.take(1, 1, now.Add(-time.Hour)))
	require.False(t, q.take(1, 1, now))
}

// TestTheFirstServerIsQueriedBeforeOthers checks also that the server of which nothing was heard for longest follows.
func TestTheFirstServerIsQueriedBeforeOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	named := func(id string, heard time.Duration) *backend.Server {
		s := backend.NewServer(backend.Entry{ID: id})
		s.ApplySharedReport(backend.SharedReport{ID: id, Total: 1}, now.Add(heard))
		return s
	}
	first, silent, heard := named("first", 3*time.Second), named("silent", time.Second), named("heard", 2*time.Second)
	order := queryOrder(first, map[*backend.Server]suspicion{heard: {}, first: {}, silent: {}})
	require.Equal(t, []*backend.Server{first, silent, heard}, order)
}
