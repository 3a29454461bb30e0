package control

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"junctioncross/admit"
	"junctioncross/engine"
	"junctioncross/gossip"
	"junctioncross/link"
	"junctioncross/member"
	"junctioncross/metrics"
	"junctioncross/pool"
	"junctioncross/revision"
	"junctioncross/timer"
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

// Self identifies this instance.
type Self struct {
	Name        string
	Domain      string
	PeerAddr    string
	Incarnation uint64
	// Seeds are the addresses of instances that are contacted while no other instance is known.
	Seeds []string
	// ListAddr is the address of the platform's instance list.
	ListAddr string
}

// Process returns a name for this incarnation of the instance, for records that have to distinguish one start from the next.
func (s Self) Process() string { return fmt.Sprintf("%s/%d", s.Name, s.Incarnation) }

// Deps are the dependencies of the control loop.
type Deps struct {
	Store     *revision.Store
	Keeper    *revision.Keeper
	Snapshots *view.SnapshotHolder
	Gates     *admit.Gates
	Pool      *pool.Pool
	Engines   *engine.Client
	Links     *link.Client
	Clock     *timer.Service
	Stats     *metrics.Registry
	Log       *logrus.Logger
}

// Loop is the control goroutine and its helper goroutines.
type Loop struct {
	self  Self
	deps  Deps
	inbox chan message
	http  *http.Client

	stopped chan struct{}

	// The fields below are shared with helper and other goroutines.
	relay atomic.Bool
	// chosen is true while this instance ranks first for the leadership of its domain, and leads while it holds that.
	chosen   atomic.Bool
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
	table         *gossip.Table
	members       members
	statusCache   *cache[InstanceStatus]
	backendCache  *cache[backendStatus]
	namesCache    *cache[[]string]
	usageCache    *cache[[]modelUsage]
	index         *view.Index
	backends      map[string]*backend
	listed        []member.ListedInstance
	listedLeaving map[string]bool
	kvAnswers     uint64
	demand        map[string]float64
	leaving       bool
	fastTicks     int
	slowTicks     int
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
		http:          &http.Client{Timeout: 2 * time.Second},
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

// post sends a message to the control goroutine; it drops the message if that has stopped.
func (l *Loop) post(m message) {
	select {
	case l.inbox <- m:
	case <-l.stopped:
	}
}

// ask posts a message that carries a channel for the answer and waits for the answer. It returns the zero value if the control
// goroutine has stopped.
func ask[A any](l *Loop, build func(answer chan A) message) A {
	answer := make(chan A, 1)
	l.post(build(answer))
	select {
	case a := <-answer:
		return a
	case <-l.stopped:
		var zero A
		return zero
	}
}

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

func (l *Loop) fastTick() {
	l.setLimits()
	l.startPolls()
	l.fastTicks++
	if l.fastTicks%exchangeTicks == 0 || len(l.unknownAddrs()) > 0 {
		l.startExchange()
	}
}

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

func (l *Loop) handle(m message) {
	switch m := m.(type) {
	case exchangeRequested:
		m.answer <- exchangeResponse{Updates: l.table.Delta(m.digest), Digest: l.table.Digest()}
	case deltaRequested:
		m.answer <- l.table.Delta(m.digest)
	case updatesArrived:
		l.mergeUpdates(m.updates)
	case reportArrived:
		l.handleReport(m)
	case listArrived:
		l.handleList(m.lines)
	case configurationChanged:
		l.applyConfiguration()
	case kvAnswered:
		l.kvAnswers++
	case movingChanged:
		l.table.Set(entryMoving, encode(m.names))
		l.scheduleUpdate()
	case statusRequested:
		m.answer <- l.statuses()
	case listRequested:
		m.answer <- append([]member.ListedInstance(nil), l.listed...)
	case serversRequested:
		m.answer <- l.domainServers()
	case leaveRequested:
		l.announceLeave(m)
	}
}

// mergeUpdates merges updates from other instances into the table.
func (l *Loop) mergeUpdates(updates []gossip.Update) {
	if !l.table.Merge(updates, l.deps.Clock.Now()) {
		return
	}
	l.refreshMembers()
	l.chargeRemote()
	l.scheduleUpdate()
	l.fetchNewer()
}

// applyConfiguration applies a configuration that has just come into force.
func (l *Loop) applyConfiguration() {
	f := l.deps.Keeper.InForce()
	if f == nil || l.index != nil && l.index.Revision() >= f.Head().Revision {
		return
	}
	l.index = view.NewIndex(f)
	l.deps.Stats.Gauge("revision").Update(int64(f.Head().Revision))
	l.deps.Log.WithField("revision", f.Head().Revision).Info("configuration in force")
	l.syncBackends()
	l.mergeBackends()
	l.publishSnapshot()
	l.publishStatus()
	l.exchangeWithAll()
}

// announceLeave publishes that this instance is stopping.
func (l *Loop) announceLeave(m leaveRequested) {
	l.leaving = true
	l.publishStatus()
	l.refreshMembers()
	l.exchangeWithAll()
	close(m.done)
}

// Leave notifies the other instances that this one is stopping.
func (l *Loop) Leave() {
	ask(l, func(done chan struct{}) message { return leaveRequested{done: done} })
}

// Statuses returns what is known about the instances of the domain.
func (l *Loop) Statuses() []InstanceStatus {
	return ask(l, func(answer chan []InstanceStatus) message { return statusRequested{answer: answer} })
}

// Listed returns the platform's instance list as it was last read.
func (l *Loop) Listed() []member.ListedInstance {
	return ask(l, func(answer chan []member.ListedInstance) message { return listRequested{answer: answer} })
}
