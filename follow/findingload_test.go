package follow

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// refusalLoad plays 30 instances of a domain that send 20 requests a second each to the usable ones of 33 servers, one of which
// is dead for 4 s; whoever sends to it is refused, and keeps away for 250 ms. It returns the number of refusals. Findings
// reach the other instances after 100 ms if they are shared.
func refusalLoad(share bool) int {
	const instances, servers, step = 30, 33, 50 * time.Millisecond
	random := rand.New(rand.NewPCG(3, 3))
	views, all := make([]*FleetView, instances), make([][]*backend.Server, instances)
	start := time.Unix(1000, 0)
	for i := range views {
		views[i], all[i], _ = findingFleet([]string{"a"}, servers)
		views[i].Identify(fmt.Sprint("i-", i), "a")
		if share {
			views[i].lastShared.Store(&start)
		}
	}
	refused := 0
	for at := time.Duration(0); at < 4*time.Second; at += step {
		now := start.Add(at)
		for i := range views {
			s := all[i][random.IntN(servers)]
			if s.ID() == "a-0" && s.Usable(now) {
				refused++
				s.SetAside(now.Add(250 * time.Millisecond))
				views[i].NoteFinding(s, backend.FindingRefusing, now)
			}
		}
		exchangeFindings(views, now, share)
	}
	return refused
}

// exchangeFindings passes the findings that were made 100 ms ago to all instances.
func exchangeFindings(views []*FleetView, now time.Time, share bool) {
	if !share {
		return
	}
	for _, from := range views {
		reports := from.OwnReports(now.Add(-150*time.Millisecond), now)
		for _, to := range views {
			to.lastShared.Store(&now)
			for _, r := range reports {
				for _, f := range r.Findings {
					if f.Age == 100*time.Millisecond {
						apply(to, now, f)
					}
				}
			}
		}
	}
}

// TestInstancesRunLessOftenIntoADeadServerThatOneHasFound compares instances that share findings with those that do not.
func TestInstancesRunLessOftenIntoADeadServerThatOneHasFound(t *testing.T) {
	alone, shared := refusalLoad(false), refusalLoad(true)
	t.Log("refusals alone", alone, "shared", shared)
	require.Positive(t, shared, "someone has to find it")
	require.LessOrEqual(t, 3*shared, alone)
}
