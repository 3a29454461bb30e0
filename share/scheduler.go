package share

import "container/heap"

// Costs of tokens, in units of one generated token.
const (
	// PromptCost is the cost of a prompt token, which runs in one batch with the others of its prompt.
	PromptCost = 0.05
	// TokenCost is the cost of a generated token.
	TokenCost = 1.0
	// maxCredit is the cost that an owner can be behind others when it comes back.
	maxCredit = 500.0
)

// Waiter is one request in the queue.
type Waiter struct {
	account    *account
	next, prev *Waiter
	dropped    bool
	// OnAdmitted is called by the owner when the request is chosen.
	OnAdmitted func()
}

// entity is a group or an account with its used cost divided by its weight.
type entity struct {
	name         string
	weight       float64
	weightedCost float64
	index        int
	queued       int
}

type account struct {
	entity
	group       *group
	first, last *Waiter
	// live is the number of waiters that have not been dropped.
	live int
}

type group struct {
	entity
	accounts map[string]*account
	waiting  queue[*account]
}

// Scheduler orders waiting requests by the used shares of their groups and accounts.
type Scheduler struct {
	groups  map[string]*group
	waiting queue[*group]
	length  int
}

// New returns an empty Scheduler.
func New() *Scheduler { return &Scheduler{groups: map[string]*group{}} }

// Len returns the number of waiting requests.
func (s *Scheduler) Len() int { return s.length }

// Owner names the account that a request belongs to.
type Owner struct {
	Group         string  `cbor:"1,keyasint"`
	GroupWeight   float64 `cbor:"2,keyasint"`
	Account       string  `cbor:"3,keyasint"`
	AccountWeight float64 `cbor:"4,keyasint"`
}

// Enqueue adds a request. An owner that had nothing waiting starts at most creditCost behind the least served one that has:
// long silence earns no more, but a queue that runs empty for a moment costs nothing.
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

// addWaiting counts the new request of the account and puts its parties into the queues.
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

// Next removes and returns the request that is due, or nil.
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

// Drop takes a request that gave up out of the order.
func (s *Scheduler) Drop(w *Waiter) {
	if !w.dropped {
		w.dropped = true
		w.account.live--
		s.length--
	}
}

// EvictionCandidate returns the newest request of the account that has the most waiting for its weight, or nil when that is not more
// than the owner would have with one more: then the owner itself is the one to be refused.
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

// Charge adds used cost to the owner; it applies to requests that run here or, as a delta, on another instance.
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

const minWeight = 1e-6
