package leader

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/metrics"
	"junctioncross/models"
	"junctioncross/testlog"
	"junctioncross/timer"
)

// twoServices returns two chained services, each with a server that holds the whole model and one more.
func twoServices(more ...*backend.Server) map[string]*backend.Group {
	groups := map[string]*backend.Group{}
	for i, name := range []string{"m", "n"} {
		e := engine()
		e.Model = name
		servers := []*backend.Server{server(10+i, "fast", models.Layers{First: 0, End: 8}), more[i]}
		groups[name] = backend.NewGroup(&catalog.Service{Name: name, Engine: e}, servers)
	}
	return groups
}

// TestServicesDoNotForgetEachOthersServers places two chained services in turn, each with a new empty server: both must get
// layers when their reservations end, once, and the coverage must be logged once.
func TestServicesDoNotForgetEachOthersServers(t *testing.T) {
	engines := newFakeServers()
	clock := clockwork.NewFakeClock()
	log := testlog.New(t)
	hook := logtest.NewLocal(log)
	term := newTerm(&Leader{engines: engines, clock: timer.New(clock), stats: metrics.New(), log: log})
	first, second := server(1, "slow", models.Layers{}), server(2, "slow", models.Layers{})
	groups := twoServices(first, second)
	for elapsed := time.Duration(0); elapsed < replacementWait+maxQuietWait; elapsed += roundPeriod {
		term.placeGroups(t.Context(), groups)
		clock.Advance(roundPeriod)
	}
	require.Len(t, engines.placed[first.Addr()], 1)
	require.Len(t, engines.placed[second.Addr()], 1)
	logged := map[any]int{}
	for _, e := range hook.AllEntries() {
		if e.Message == "coverage" && e.Data["of_domain"] == "" {
			logged[e.Data["model"]]++
		}
	}
	require.Equal(t, map[any]int{"m": 2, "n": 2}, logged, "at first, and when the empty servers have got layers")
}
