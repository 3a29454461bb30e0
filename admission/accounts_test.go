package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/admission"
	"junctioncross/demand"
)

// eagerAccount comes back at once after each refusal, with requests that look like first tries; largeAccount asks for as much
// as the whole room.
const (
	eagerAccount = "eager"
	largeAccount = "large"
	// smallCount is the number of small accounts.
	smallCount = 22
	// smallLoad is the load of the small accounts, as a part of the room.
	smallLoad = 0.433
)

func accountTraffic(room float64) traffic {
	rates := map[demand.Class]float64{
		{Account: largeAccount}: room / meanLife.Seconds(),
		{Account: eagerAccount}: 0.5 * room / meanLife.Seconds(),
	}
	for n := range smallCount {
		rates[demand.Class{Account: fmt.Sprint("small", n)}] = (0.005 + 0.0014*float64(n)) * room / meanLife.Seconds()
	}
	return func(time.Duration) map[demand.Class]float64 { return rates }
}

// TestSmallAccountsAreServedInFull plays 24 accounts of very unlike size, of which one repeats its requests at once.
func TestSmallAccountsAreServedInFull(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{8, 87, 350} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			const room = 1200
			l := newLoad(1, instances, room, &admission.Settings{Accounts: true}, 1, 0.1, accountTraffic(room))
			l.play(end)
			kind := func(c demand.Class) string {
				if c.Account == largeAccount || c.Account == eagerAccount {
					return c.Account
				}
				return "small"
			}
			after := count(l, start, end-2*time.Second, kind)
			require.GreaterOrEqual(t, after["small"].inTime/after["small"].callers, 0.95)
			large, eager := after[largeAccount].served, after[eagerAccount].served
			fair := (1 - smallLoad) / 2 * room / meanLife.Seconds() * (end - 2*time.Second - start).Seconds()
			require.InDelta(t, 1.1, large/fair, 0.15, "the excess of the large account is refused, but repeats take nothing from it")
			require.LessOrEqual(t, eager, 1.05*large, "repeats gain nothing")
			require.Greater(t, float64(l.work(start, end)), 0.96*room/meanLife.Seconds()*(end-start).Seconds())
		})
	}
}

// fullTotals returns totals of a service whose room is full, with a steady queue: 100 streams a second end, and requests wait
// 300 ms. It has the first tries a second of some accounts.
func fullTotals(offered map[string]float64) demand.Totals {
	t := demand.Totals{Instances: 10, UnderWay: 400, Waiting: 30, Room: 400, Lifetime: 4300 * time.Millisecond}
	for account, rate := range offered {
		t.Classes = append(t.Classes, demand.Rates{Class: demand.Class{Account: account}, Offered: rate})
	}
	return t
}

// admittedAfter returns the admitted requests a second of each account once the levels have settled.
func admittedAfter(s admission.Settings, t demand.Totals) map[string]float64 {
	c, now := admission.New(s, func() float64 { return 0.5 }), time.Unix(1000, 0)
	for range 100 {
		now = now.Add(slot)
		c.Update(&t, now)
	}
	out := map[string]float64{}
	for _, r := range t.Classes {
		const tries = 10000
		for range tries {
			if _, ok := c.Decide(r.Class, admission.FirstTry, now).(admission.Admitted); ok {
				out[r.Class.Account] += r.Offered / tries
			}
		}
	}
	return out
}

func TestFairPartsFollowTheWeights(t *testing.T) {
	got := admittedAfter(admission.Settings{Accounts: true, Weights: map[string]float64{"heavy": 3}}, fullTotals(map[string]float64{
		"heavy": 200, "light": 200, "tiny": 2,
	}))
	require.InDelta(t, 2, got["tiny"], 0.01)
	require.InDelta(t, 3, got["heavy"]/got["light"], 0.05)
	require.InDelta(t, 100, got["heavy"]+got["light"]+got["tiny"], 5)
}

// TestPartsOfTheRoomAreKept asks for a guarantee and a ceiling.
func TestPartsOfTheRoomAreKept(t *testing.T) {
	parts := []admission.Part{{Account: "kept", Ceiling: 1, Guarantee: 0.5}, {Account: "bound", Ceiling: 0.1}}
	got := admittedAfter(admission.Settings{Accounts: true, Parts: parts}, fullTotals(map[string]float64{"kept": 80, "bound": 80, "other": 200}))
	require.GreaterOrEqual(t, got["kept"], 48.0)
	require.InDelta(t, 10, got["bound"], 1)
	require.InDelta(t, 40, got["other"], 4)
}

// TestACeilingHoldsWhileRoomIsFree has no other account that wants the room.
func TestACeilingHoldsWhileRoomIsFree(t *testing.T) {
	totals := fullTotals(map[string]float64{"bound": 30})
	totals.UnderWay, totals.Waiting = 100, 0
	got := admittedAfter(admission.Settings{Parts: []admission.Part{{Account: "bound", Ceiling: 0.1}}}, totals)
	require.Less(t, got["bound"], 20.0)
}

// TestAccountsAreFairInsideTheirRank has a large and a small account in each of two ranks.
func TestAccountsAreFairInsideTheirRank(t *testing.T) {
	totals := fullTotals(nil)
	for rank, offered := range []map[string]float64{{"a": 40, "b": 10}, {"c": 200, "d": 10}} {
		for _, account := range []string{"a", "b", "c", "d"} {
			if rate := offered[account]; rate > 0 {
				class := demand.Class{Rank: demand.Rank{Account: rank}, Account: account}
				totals.Classes = append(totals.Classes, demand.Rates{Class: class, Offered: rate})
			}
		}
	}
	got := admittedAfter(admission.Settings{Ranks: true, Accounts: true}, totals)
	require.InDelta(t, 40, got["a"], 0.1)
	require.InDelta(t, 10, got["b"], 0.1)
	require.InDelta(t, 10, got["d"], 0.1)
	require.InDelta(t, 38, got["c"], 6)
}

// TestAnAccountOnTwoRoutesHasOneFairPart has no ranks, so that the priorities of the routes do not matter.
func TestAnAccountOnTwoRoutesHasOneFairPart(t *testing.T) {
	totals := fullTotals(map[string]float64{"one": 200})
	for route := range 2 {
		class := demand.Class{Rank: demand.Rank{Route: route}, Account: "two"}
		totals.Classes = append(totals.Classes, demand.Rates{Class: class, Offered: 100})
	}
	got := admittedAfter(admission.Settings{Accounts: true}, totals)
	require.InDelta(t, got["one"], got["two"], 1)
}

// TestARefusalNamesTheCeilingOnlyIfItBinds has a ceiling above what the account gets.
func TestARefusalNamesTheCeilingOnlyIfItBinds(t *testing.T) {
	for ceiling, reason := range map[float64]admission.Reason{0.1: admission.ReasonCeiling, 0.9: admission.ReasonAccount} {
		totals := fullTotals(map[string]float64{"bound": 200, "other": 200})
		parts := []admission.Part{{Account: "bound", Ceiling: ceiling}}
		c, now := settled(admission.Settings{Accounts: true, Parts: parts}, totals, func() float64 { return 0 })
		refused, ok := c.Decide(demand.Class{Account: "bound"}, admission.FirstTry, now).(admission.Refused)
		require.True(t, ok)
		require.Equal(t, reason, refused.Reason)
	}
}
