package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"junctioncross/gossip"
	"junctioncross/member"
	"junctioncross/once"
	"junctioncross/view"
)

const (
	// collectPeriod is how long updates are collected before they are applied and passed on together.
	collectPeriod = 100 * time.Millisecond
	fastPeriod    = 400 * time.Millisecond
	slowPeriod    = time.Second
	// heartbeatTicks is the number of slow ticks between two heartbeats.
	heartbeatTicks = 2
	// mergeTicks is the number of slow ticks after which the states of the servers are merged again even without updates: the
	// lists of moving and leaving servers that an instance published stop counting when it has been silent for silentLimit.
	mergeTicks    = 5
	inboxCapacity = 1024
	// exchangeTicks is the number of fast ticks between two exchanges when there are no updates.
	exchangeTicks = 3
	// silentLimit is the time without updates from an instance after which it no longer counts as live.
	silentLimit = 12 * time.Second
	// forgetAfter is the time without updates from an instance after which its entries are deleted.
	forgetAfter = 5 * time.Minute
)

// Loop is the control goroutine and its helper goroutines.
type Loop struct {
	self  Self
	deps  Deps
	inbox chan message
	http  *fasthttp.Client

	stopped chan struct{}

	// The fields below are shared with helper and other goroutines.

	// relay is true while this instance is one of the relays of its domain.
	relay atomic.Bool
	// chosen is true while this instance ranks first for the leadership of its domain, and leads while it holds that.
	chosen atomic.Bool
	// fetching is true while a newer configuration is fetched from another instance.
	fetching atomic.Bool
	// alone is true while no other live instance of the domain is known.
	alone atomic.Bool
	leads atomic.Bool
	// kvReachable is false while the last call to the key-value service failed.
	kvReachable atomic.Bool
	directory   atomic.Pointer[directory]

	// relayProgress holds, by relay, its last known number of answers from the key-value service; only the goroutine of watchHead
	// uses it.
	relayProgress map[string]kvProgress

	// Only the control goroutine uses the fields below.

	// table holds what the instances of the domain publish.
	table        *gossip.Table
	members      members
	statusCache  *cache[InstanceStatus]
	backendCache *cache[backendStatus]
	namesCache   *cache[[]string]
	usageCache   *cache[[]modelUsage]
	// index is that of the configuration in force; nil while there is none.
	index    *view.Index
	backends map[string]*backend
	// listed is the platform's instance list as it was last read, and listedLeaving the servers that it has marked as leaving.
	listed        []member.ListedInstance
	listedLeaving map[string]bool
	// kvAnswers is the number of answers that this instance has received from the key-value service.
	kvAnswers uint64
	demand    map[string]float64
	leaving   bool
	fastTicks int
	slowTicks int
	// updatesDue delivers when the collected updates have to be applied and passed on; it is nil while there are none.
	updatesDue <-chan time.Time
	polls      map[string]*poll
	// charged holds the cumulative usage on other instances that has already been charged to the gates.
	charged map[chargedKey]float64
}

// kvProgress is the number of answers that a relay has received from the key-value service and when this number last changed.
type kvProgress struct {
	answers   uint64
	changedAt time.Time
}

// New returns a Loop and starts it with its helpers; all stop when ctx ends.
func New(ctx context.Context, self Self, deps Deps) *Loop {
	now := deps.Clock.Now()
	l := &Loop{
		self: self, deps: deps, inbox: make(chan message, inboxCapacity),
		http:          once.NewClient(listTimeout),
		stopped:       make(chan struct{}),
		table:         gossip.New(self.Name, self.Incarnation, now),
		backends:      map[string]*backend{},
		statusCache:   newCache[InstanceStatus](),
		backendCache:  newCache[backendStatus](),
		namesCache:    newCache[[]string](),
		usageCache:    newCache[[]modelUsage](),
		listedLeaving: map[string]bool{},
		polls:         map[string]*poll{},
		charged:       map[chargedKey]float64{},
		relayProgress: map[string]kvProgress{},
	}
	// The helpers need this instance's roles when they start; it has all of them until it learns of other instances.
	l.refreshMembers()
	go func() { l.run(ctx) }()
	go func() { l.watchHead(ctx) }()
	go func() { l.pollList(ctx) }()
	go func() { l.pollOtherDomains(ctx) }()
	return l
}

// run is the control goroutine.
func (l *Loop) run(ctx context.Context) {
	defer close(l.stopped)
	fast := l.deps.Clock.Subscribe(fastPeriod)
	slow := l.deps.Clock.Subscribe(slowPeriod)
	defer fast.Stop()
	defer slow.Stop()
	for {
		select {
		case m := <-l.inbox:
			l.handle(m)
		case <-l.updatesDue:
			l.applyUpdates()
		case <-fast.C():
			l.fastTick()
		case <-slow.C():
			l.slowTick()
		case <-ctx.Done():
			return
		}
	}
}

// scheduleUpdate has the updates of the next collectPeriod applied and passed on together at its end.
func (l *Loop) scheduleUpdate() {
	if l.updatesDue == nil {
		l.updatesDue = l.deps.Clock.After(collectPeriod)
	}
}

// applyUpdates applies the collected updates and passes them on to one neighbour, which does the same. Updates thus reach all
// instances in a number of periods that grows with the logarithm of the number of instances, and the number of exchanges does not
// grow with the number of updates.
func (l *Loop) applyUpdates() {
	l.updatesDue = nil
	if l.mergeBackends() {
		l.publishSnapshot()
	}
	l.startExchange()
}

// fastTick renews the limits, polls the servers, and exchanges updates now and then even if there are none.
func (l *Loop) fastTick() {
	l.setLimits()
	l.startPolls()
	l.fastTicks++
	if l.fastTicks%exchangeTicks == 0 || len(l.unknownAddrs()) > 0 {
		l.startExchange()
	}
}

// slowTick does the work that no event triggers: heartbeats, silent instances, and what this instance publishes of its load.
func (l *Loop) slowTick() {
	now := l.deps.Clock.Now()
	l.slowTicks++
	if l.slowTicks%heartbeatTicks == 0 {
		l.table.Heartbeat(now)
	}
	l.table.Forget(now, forgetAfter)
	l.refreshMembers()
	l.publishDemand()
	l.publishUsage()
	if l.slowTicks%mergeTicks == 0 && l.mergeBackends() {
		l.publishSnapshot()
	}
}
