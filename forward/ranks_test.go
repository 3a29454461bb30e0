package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/demand"
)

// rankedRoute is a route of service "s" with a priority.
func rankedRoute(name string, priority int, public bool) catalog.Route {
	return catalog.Route{
		Name: name, Host: "h", Prefix: "/" + name, Priority: priority, Public: public, Timeout: time.Minute, MaxAttempts: 1,
		Targets: []catalog.Target{{Service: "s", Weight: 1}},
	}
}

func catalogOf(t *testing.T, accounts []catalog.Account, routes ...catalog.Route) *catalog.Catalog {
	other := rankedRoute("other", 9, true)
	other.Targets[0].Service = "o"
	c, err := catalog.New(&catalog.Content{
		Routes: append(routes, other), Services: []catalog.Service{{Name: "s"}, {Name: "o"}}, Accounts: accounts,
	})
	require.NoError(t, err)
	return c
}

func TestTheRanksOfAServiceComeFromItsOwnRoutesAndTheAccountsThatCanUseThem(t *testing.T) {
	accounts := []catalog.Account{{Name: "a", Priority: 2, Keys: []string{"a"}}, {Name: "b", Priority: 1, Keys: []string{"b"}}}
	require.Equal(t, []demand.Rank{{Account: 1, Route: 1}}, ranksOf(catalogOf(t, nil, rankedRoute("x", 1, false), rankedRoute("y", 1, false)), "s"),
		"the routes are alike, that of another service is not")
	require.Equal(t, []demand.Rank{{Account: 0, Route: 0}, {Account: 1, Route: 1}}, ranksOf(catalogOf(t, nil, rankedRoute("x", 1, false), rankedRoute("y", 0, false)), "s"))
	require.Equal(t, []demand.Rank{{Account: 1, Route: 1}, {Account: 2, Route: 1}}, ranksOf(catalogOf(t, accounts, rankedRoute("x", 1, false)), "s"))
	require.Equal(t, []demand.Rank{{Account: 1, Route: 1}}, ranksOf(catalogOf(t, accounts, rankedRoute("x", 1, true)), "s"), "without an account")
	require.Equal(t, []demand.Rank{{Account: 1, Route: 0}, {Account: 1, Route: 3}, {Account: 2, Route: 0}, {Account: 2, Route: 3}},
		ranksOf(catalogOf(t, accounts, rankedRoute("x", 3, false), rankedRoute("y", 0, false)), "s"), "accounts go before routes")
}

func TestTheRanksAreThoseOfTheNewestConfiguration(t *testing.T) {
	var b rankCache
	was, now := catalogOf(t, nil, rankedRoute("x", 1, false)), catalogOf(t, nil, rankedRoute("x", 1, false), rankedRoute("y", 2, false))
	require.Len(t, b.of(was, "s"), 1)
	require.Len(t, b.of(now, "s"), 2)
	require.Len(t, b.of(now, "o"), 1)
	require.Equal(t, position{at: 1, of: 2}, positionOf([]demand.Rank{{Account: 0, Route: 0}, {Account: 2, Route: 2}}, demand.Rank{Account: 1, Route: 1}), "a rank that is no longer there")
	require.Equal(t, position{at: 1, of: 2}, positionOf([]demand.Rank{{Account: 0, Route: 0}, {Account: 2, Route: 2}}, demand.Rank{Account: 3, Route: 3}))
}

func TestServersAreToldNothingWhereAllAreEquallyUrgent(t *testing.T) {
	require.Equal(t, call.Urgency{}, position{of: 1}.level(true))
	require.Equal(t, call.Urgency{}, position{}.level(false))
}

// TestLevelsKeepTheOrderOfRanks draws two requests of a service with any number of ranks.
func TestLevelsKeepTheOrderOfRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		of := rapid.IntRange(2, 60).Draw(t, "ranks")
		a, b := position{rapid.IntRange(0, of-1).Draw(t, "a"), of}, position{rapid.IntRange(0, of-1).Draw(t, "b"), of}
		first, returned := a.level(false), a.level(true)
		require.Equal(t, first.Level+1, returned.Level, "first tries go before returned ones of the same rank")
		require.GreaterOrEqual(t, first.Level, 0)
		require.LessOrEqual(t, returned.Level, call.MaxUrgencyLevel)
		if a.at < b.at {
			require.LessOrEqual(t, first.Level, b.level(false).Level)
		}
		if a.at < b.at && of <= rankLevels {
			require.Less(t, returned.Level, b.level(false).Level)
		}
	})
}

// TestRequestsUnderWayKeepTheirRanksWithoutTheirService guards against resumed streams without urgency while a configuration lacks their service.
func TestRequestsUnderWayKeepTheirRanksWithoutTheirService(t *testing.T) {
	var b rankCache
	ranks := b.of(catalogOf(t, nil, rankedRoute("x", 1, false)), "s")
	require.NotEmpty(t, ranks)
	without, err := catalog.New(&catalog.Content{Version: 2})
	require.NoError(t, err)
	require.Equal(t, ranks, b.of(without, "s"))
}
