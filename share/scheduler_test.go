package share_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"junctioncross/share"
)

func owner(group, account int, weights []float64) share.Owner {
	return share.Owner{
		Group: fmt.Sprint("g", group), GroupWeight: weights[group],
		Account: fmt.Sprint("g", group, "a", account), AccountWeight: 1,
	}
}

func TestEveryWaiterIsAdmittedOnceAndInOrderWithinItsAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := share.New()
		weights := []float64{1, 3, 0.5}
		last := map[string]int{}
		in, out, dropped := 0, 0, 0
		waiters := map[*share.Waiter]bool{}
		order := map[*share.Waiter]int{}
		accounts := map[*share.Waiter]string{}
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				o := owner(rapid.IntRange(0, 2).Draw(t, "group"), rapid.IntRange(0, 3).Draw(t, "account"), weights)
				w := s.Enqueue(o, func() {})
				in++
				order[w], accounts[w], waiters[w] = in, o.Account, true
			case 2:
				if w := s.Next(); w != nil {
					require.True(t, waiters[w], "admitted twice or after it was dropped")
					delete(waiters, w)
					require.Greater(t, order[w], last[accounts[w]])
					last[accounts[w]] = order[w]
					out++
				} else {
					require.Empty(t, waiters)
				}
			default:
				for w := range waiters {
					s.Drop(w)
					delete(waiters, w)
					dropped++
					break
				}
			}
			require.Equal(t, in-out-dropped, s.Len())
		}
	})
}

// TestSharesFollowWeights serves two groups that always have requests queued. One account sends ten times as many as another
// of its group and must not get more.
func TestSharesFollowWeights(t *testing.T) {
	s := share.New()
	weights := []float64{1, 3}
	served := map[string]float64{}
	enqueue := func(group, account int) {
		o := owner(group, account, weights)
		s.Enqueue(o, func() {
			served[o.Group]++
			served[o.Account]++
			s.Charge(o, 1)
		})
	}
	for range 400 {
		enqueue(0, 0)
		for range 10 {
			enqueue(1, 0)
		}
		enqueue(1, 1)
	}
	for range 800 {
		s.Next().OnAdmitted()
	}
	require.InDelta(t, 200, served["g0"], 2)
	require.InDelta(t, 600, served["g1"], 2)
	require.InDelta(t, 300, served["g1a0"], 2)
	require.InDelta(t, 300, served["g1a1"], 2)
}

func TestTheLongestQueueLosesItsNewestRequest(t *testing.T) {
	s := share.New()
	weights := []float64{1}
	var heavy []*share.Waiter
	for range 5 {
		heavy = append(heavy, s.Enqueue(owner(0, 0, weights), func() {}))
	}
	require.Nil(t, s.EvictionCandidate(owner(0, 0, weights)), "the account with the longest queue evicts none of its own requests")
	w := s.EvictionCandidate(owner(0, 1, weights))
	require.Equal(t, heavy[4], w, "the newest request is evicted first")
	s.Drop(w)
	require.Equal(t, heavy[3], s.EvictionCandidate(owner(0, 1, weights)))
	for range 3 {
		s.Enqueue(owner(0, 1, weights), func() {})
	}
	require.Nil(t, s.EvictionCandidate(owner(0, 1, weights)), "the owner would have as many as the other")
}

// TestAnIdleGroupGetsBoundedCredit sends the first requests of a group after another group has used twenty times the credit.
// The new group may be served ahead of the other only up to the credit.
func TestAnIdleGroupGetsBoundedCredit(t *testing.T) {
	const credit = 500
	s := share.New()
	weights := []float64{1, 1}
	busy, idle := owner(0, 0, weights), owner(1, 0, weights)
	s.Charge(busy, 20*credit)
	served := ""
	serve := func(o share.Owner) func() {
		return func() {
			served = o.Group
			s.Charge(o, 1)
		}
	}
	ahead := 0
	for range 2 * credit {
		s.Enqueue(busy, serve(busy))
		s.Enqueue(idle, serve(idle))
		s.Next().OnAdmitted()
		if served == busy.Group {
			break
		}
		ahead++
	}
	require.InDelta(t, credit, ahead, 1, "served ahead of the busy group")
}

// busyScheduler returns a scheduler with the given number of accounts in 35 groups, each of which has one request queued.
func busyScheduler(accounts int) (*share.Scheduler, []share.Owner) {
	s := share.New()
	owners := make([]share.Owner, accounts)
	for i := range owners {
		owners[i] = share.Owner{Group: fmt.Sprint("g", i%35), GroupWeight: 1, Account: fmt.Sprint("a", i), AccountWeight: 1}
		s.Enqueue(owners[i], func() {})
	}
	return s, owners
}

func BenchmarkShareUpdate(b *testing.B) {
	for _, accounts := range []int{100, 2000, 20000} {
		b.Run(fmt.Sprint("accounts=", accounts), func(b *testing.B) {
			s, owners := busyScheduler(accounts)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				s.Charge(owners[i%accounts], 1)
				i++
			}
		})
	}
}

func BenchmarkAdmission(b *testing.B) {
	for _, accounts := range []int{100, 2000, 20000} {
		b.Run(fmt.Sprint("accounts=", accounts), func(b *testing.B) {
			s, owners := busyScheduler(accounts)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				s.Enqueue(owners[i%accounts], nil)
				s.Next()
				i++
			}
		})
	}
}
