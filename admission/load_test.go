package admission_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"junctioncross/admission"
	"junctioncross/demand"
)

const (
	// tick is the step of a play. In each slot the instances report once, and windowSlots slots make up the window of rates.
	tick        = 10 * time.Millisecond
	slot        = 250 * time.Millisecond
	slotTicks   = int(slot / tick)
	windowSlots = 4
	minLife     = 2 * time.Second
	meanLife    = 4 * time.Second
	// objective is the time in which callers want their answers to begin, and maxTries how often they try.
	objective = 800 * time.Millisecond
	maxTries  = 4
	// maxOvertaken is how often a waiting request is overtaken at most.
	maxOvertaken = 3
)

// traffic is the load at a time: the requests a second of each class.
type traffic func(at time.Duration) map[demand.Class]float64

// caller is one caller of a service.
type caller struct {
	class           demand.Class
	born, tried     time.Duration
	tries, instance int
	eager           bool
	served, inTime  bool
	overtaken       int
}

// load plays callers against instances with a common room.
type load struct {
	random *rand.Rand
	// arrivals and lives give the times of the callers and the lifetimes of streams in the order of their beginnings, so that
	// plays of the same seed with and without admission have the same.
	arrivals, lives *rand.Rand
	traffic         traffic
	room            float64
	controllers     []*admission.Controller
	// parts is the number of groups of instances that know only each other, and lost the part of the totals that gets lost.
	parts int
	lost  float64

	now     time.Duration
	callers []*caller
	waiting []*caller
	// returns holds the callers that come back, and ends the parts whose streams end, by the number of the tick.
	returns  map[int][]*caller
	ends     map[int][]int
	underWay []int
	rates    []map[demand.Class]*demand.Rates
	// slots holds the rates of the latest slots, and totals the latest totals, for each part.
	slots  [][]map[demand.Class]*demand.Rates
	totals [][]demand.Totals
	// levels are those of the first instance in each slot, and begun the times at which streams began.
	levels [][]admission.Level
	begun  []time.Duration
}

func newLoad(seed uint64, instances int, room float64, settings *admission.Settings, parts int, lost float64, t traffic) *load {
	l := &load{
		random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), lives: rand.New(rand.NewPCG(seed, 3)),
		traffic: t, room: room, controllers: make([]*admission.Controller, instances), parts: parts,
		lost: lost, returns: map[int][]*caller{}, ends: map[int][]int{}, underWay: make([]int, parts),
		rates: make([]map[demand.Class]*demand.Rates, parts), slots: make([][]map[demand.Class]*demand.Rates, parts),
		totals: make([][]demand.Totals, parts),
	}
	for i := range l.controllers {
		if settings != nil {
			l.controllers[i] = admission.New(*settings, l.random.Float64)
		}
	}
	for p := range parts {
		l.rates[p] = map[demand.Class]*demand.Rates{}
	}
	return l
}

func (l *load) clock() time.Time { return time.Unix(1000, 0).Add(l.now) }

// part returns the part of the fleet to which an instance belongs.
func (l *load) part(instance int) int { return instance % l.parts }

func (l *load) ratesOf(c *caller) *demand.Rates {
	rates := l.rates[l.part(c.instance)]
	if rates[c.class] == nil {
		rates[c.class] = &demand.Rates{Class: c.class}
	}
	return rates[c.class]
}

// play runs the load until a time since the start; n is the number of the tick.
func (l *load) play(until time.Duration) {
	for n := int(l.now / tick); l.now < until; n, l.now = n+1, l.now+tick {
		for _, part := range l.ends[n] {
			l.underWay[part]--
		}
		delete(l.ends, n)
		l.expire(n)
		l.fill(n)
		for _, c := range l.returns[n] {
			l.try(c, n)
		}
		delete(l.returns, n)
		rates := l.traffic(l.now)
		for _, class := range sortedClasses(rates) {
			for range l.poisson(rates[class] * tick.Seconds()) {
				c := &caller{class: class, born: l.now, eager: class.Account == eagerAccount}
				l.callers = append(l.callers, c)
				l.try(c, n)
			}
		}
		if n%slotTicks == slotTicks-1 {
			l.report(n)
		}
	}
}

func sortedClasses[V any](m map[demand.Class]V) []demand.Class {
	var out []demand.Class
	for class := range m {
		out = append(out, class)
	}
	slices.SortFunc(out, func(a, b demand.Class) int {
		if c := a.Rank.Compare(b.Rank); c != 0 {
			return c
		}
		return slices.Compare([]byte(a.Account), []byte(b.Account))
	})
	return out
}

// poisson returns a random number of arrivals in a tick, by a Poisson distribution with the given mean.
func (l *load) poisson(mean float64) int {
	n, sum := 0, l.arrivals.ExpFloat64()
	for sum < mean {
		n, sum = n+1, sum+l.arrivals.ExpFloat64()
	}
	return n
}

// try sends a caller's request to a random instance.
func (l *load) try(c *caller, n int) {
	c.instance, c.tried, c.overtaken = l.random.IntN(len(l.controllers)), l.now, 0
	c.tries++
	first := c.tries == 1 || c.eager
	if first {
		l.ratesOf(c).Offered++
	} else {
		l.ratesOf(c).Returned++
	}
	if controller := l.controllers[c.instance]; controller != nil {
		try := admission.Returned
		if first {
			try = admission.FirstTry
		}
		if _, ok := controller.Decide(c.class, try, l.clock()).(admission.Admitted); !ok {
			l.refuse(c, n)
			return
		}
	}
	if l.used() < int(l.room) && len(l.waiting) == 0 {
		l.begin(c, n)
		return
	}
	l.waiting = append(l.waiting, c)
}

// used returns the number of streams that have room.
func (l *load) used() int {
	sum := 0
	for _, n := range l.underWay {
		sum += n
	}
	return sum
}

// begin gives room to a caller's stream and draws its lifetime.
func (l *load) begin(c *caller, n int) {
	c.served, c.inTime = true, l.now-c.born <= objective
	l.begun = append(l.begun, l.now)
	l.underWay[l.part(c.instance)]++
	life := minLife + time.Duration(l.lives.Float64()*2*float64(meanLife-minLife))
	l.ends[n+int(life/tick)] = append(l.ends[n+int(life/tick)], l.part(c.instance))
}

// refuse sends a caller away; it comes back after one to two seconds, or at once if it is eager.
func (l *load) refuse(c *caller, n int) {
	if c.tries == 1 || c.eager {
		l.ratesOf(c).Refused++
	}
	after := time.Second + time.Duration(l.random.Float64()*float64(time.Second))
	if c.eager {
		after = 50 * time.Millisecond
	}
	if c.tries < maxTries || c.eager && c.tries < 20 {
		l.returns[n+int(after/tick)] = append(l.returns[n+int(after/tick)], c)
	}
}

// expire refuses those that have waited too long.
func (l *load) expire(n int) {
	l.waiting = slices.DeleteFunc(l.waiting, func(c *caller) bool {
		if l.now-c.tried < objective {
			return false
		}
		l.refuse(c, n)
		return true
	})
}

// fill gives free room to the most urgent request of random instances: instances do not know each other's queues.
func (l *load) fill(n int) {
	for l.used() < int(l.room) && len(l.waiting) > 0 {
		at := l.random.IntN(len(l.waiting))
		for i, c := range l.waiting {
			if c.instance == l.waiting[at].instance && c.class.Rank.Compare(l.waiting[at].class.Rank) < 0 && l.waiting[at].overtaken < maxOvertaken {
				l.waiting[at].overtaken++
				at = i
			}
		}
		c := l.waiting[at]
		l.waiting = slices.Delete(l.waiting, at, at+1)
		l.begin(c, n)
	}
}
