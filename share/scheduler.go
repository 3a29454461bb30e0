package share

import "container/heap"

// Costs of tokens, in units of one generated token.
const (
	// PromptCost is the cost of a prompt token. It is low because all tokens of a prompt run in one batch.
	PromptCost = 0.05
	// TokenCost is the cost of a generated token.
	TokenCost = 1.0
	// maxCredit is the largest cost by which a group or account that was idle can be behind the others when its next request
	// arrives.
	maxCredit = 500.0
)

// Waiter is one queued request.
type Waiter struct {
	account    *account
	next, prev *Waiter
	dropped    bool
	// OnAdmitted is called by the user of the Scheduler, not by the Scheduler itself, after Next has returned the request.
	OnAdmitted func()
}

// entity holds what groups and accounts have in common.
type entity struct {
	name   string
	weight float64
	// weightedCost is the used cost divided by the weight.
	weightedCost float64
	// index is the position in the heap.
	index int
	// queued counts the waiters in the queue, including dropped ones that Next has not removed yet.
	queued int
}

type account struct {
	entity
	group       *group
	first, last *Waiter
	// live is the number of queued waiters that have not been dropped.
	live int
}

type group struct {
	entity
	accounts map[string]*account
	waiting  queue[*account]
}

// Scheduler orders queued requests by what their groups and accounts have used, relative to their weights.
type Scheduler struct {
	groups  map[string]*group
	waiting queue[*group]
	length  int
}

// New returns an empty Scheduler.
func New() *Scheduler { return &Scheduler{groups: map[string]*group{}} }

// Len returns the number of queued requests, without the dropped ones.
func (s *Scheduler) Len() int { return s.length }

// Owner identifies the account that a request belongs to and gives the weights of the account and its group.
type Owner struct {
	Group         string  `cbor:"1,keyasint"`
	GroupWeight   float64 `cbor:"2,keyasint"`
	Account       string  `cbor:"3,keyasint"`
	AccountWeight float64 `cbor:"4,keyasint"`
}

// Enqueue adds a request. A group or account that had nothing queued starts at most maxCredit behind the least served one that
// has: a long idle time earns no more credit than that, but a queue that runs empty for a moment loses none.
func (s *Scheduler) Enqueue(o Owner, admitted func()) *Waiter {
	a := s.account(o)
	w := &Waiter{account: a, OnAdmitted: admitted}
	if a.last == nil {
		a.first = w
	} else {
		a.last.next = w
		w.prev = a.last
	}
	a.last = w
	a.live++
	s.length++
	s.addWaiting(a)
	return w
}

// addWaiting counts a new request of the account, and puts the account and its group into the queues if they had no request
// queued before.
func (s *Scheduler) addWaiting(a *account) {
	g := a.group
	a.queued++
	if a.queued == 1 {
		if len(g.waiting) > 0 {
			a.weightedCost = max(a.weightedCost, g.waiting[0].weightedCost-maxCredit/a.weight)
		}
		heap.Push(&g.waiting, a)
	}
	g.queued++
	if g.queued == 1 {
		if len(s.waiting) > 0 {
			g.weightedCost = max(g.weightedCost, s.waiting[0].weightedCost-maxCredit/g.weight)
		}
		heap.Push(&s.waiting, g)
	}
}

// Next removes and returns the request that is next in order, or nil if none is queued.
func (s *Scheduler) Next() *Waiter {
	for len(s.waiting) > 0 {
		a := s.waiting[0].waiting[0]
		w := a.first
		a.first = w.next
		if a.first == nil {
			a.last = nil
		} else {
			a.first.prev = nil
		}
		s.removeWaiting(a)
		if !w.dropped {
			a.live--
			s.length--
			return w
		}
	}
	return nil
}

// removeWaiting undoes addWaiting for a request that was removed from the account's queue.
func (s *Scheduler) removeWaiting(a *account) {
	g := a.group
	a.queued--
	if a.queued == 0 {
		heap.Remove(&g.waiting, a.index)
	}
	g.queued--
	if g.queued == 0 {
		heap.Remove(&s.waiting, g.index)
	}
}

// Drop cancels a queued request: Next will not return it.
func (s *Scheduler) Drop(w *Waiter) {
	if !w.dropped {
		w.dropped = true
		w.account.live--
		s.length--
	}
}

// EvictionCandidate returns the newest queued request of the account that has the most requests queued relative to its weight.
// It returns nil if the owner, with one more request, would have at least as many: then the owner's request is to be refused.
func (s *Scheduler) EvictionCandidate(o Owner) *Waiter {
	own := s.account(o)
	highest := float64(own.live+1) / (own.weight * own.group.weight)
	var longest *account
	for _, g := range s.waiting {
		for _, a := range g.waiting {
			if n := float64(a.live) / (a.weight * g.weight); n > highest {
				highest, longest = n, a
			}
		}
	}
	if longest == nil {
		return nil
	}
	for w := longest.last; w != nil; w = w.prev {
		if !w.dropped {
			return w
		}
	}
	return nil
}

// Charge adds cost to the owner's usage. The cost comes from a request on this instance, or is the increase of the owner's
// usage on another instance.
func (s *Scheduler) Charge(o Owner, cost float64) {
	a := s.account(o)
	a.weightedCost += cost / a.weight
	a.group.weightedCost += cost / a.group.weight
	if a.queued > 0 {
		heap.Fix(&a.group.waiting, a.index)
	}
	if a.group.queued > 0 {
		heap.Fix(&s.waiting, a.group.index)
	}
}

// account returns the owner's account with its current weights, and creates the account and its group if needed.
func (s *Scheduler) account(o Owner) *account {
	g := s.groups[o.Group]
	if g == nil {
		g = &group{entity: entity{name: o.Group}, accounts: map[string]*account{}}
		s.groups[o.Group] = g
	}
	g.weight = max(o.GroupWeight, minWeight)
	a := g.accounts[o.Account]
	if a == nil {
		a = &account{entity: entity{name: o.Account}, group: g}
		g.accounts[o.Account] = a
	}
	a.weight = max(o.AccountWeight, minWeight)
	return a
}

// minWeight replaces smaller weights, by which costs could not be divided.
const minWeight = 1e-6
