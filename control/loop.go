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
	// collectPeriod gathers news of backend servers before they are spread.
	collectPeriod = 100 * time.Millisecond
	fastPeriod    = 400 * time.Millisecond
	slowPeriod    = time.Second
	// heartbeatTicks is the number of slow ticks from one sign of life to the next.
	heartbeatTicks = 2
	// mergeTicks is the number of slow ticks after which servers are looked at again although nothing was stated: what an
	// instance said that has gone silent no longer counts.
	mergeTicks    = 5
	inboxCapacity = 1024
	// exchangeTicks is the number of fast ticks from one exchange to the next when there is no news.
	exchangeTicks = 3
	// silentLimit is the time without news after which an instance is not counted on.
	silentLimit = 12 * time.Second
	forgetAfter = 5 * time.Minute
)

// Self says who this instance is.
type Self struct {
	Name        string
	Domain      string
	PeerAddr    string
	Incarnation uint64
	// Seeds are addresses of instances to ask first.
	Seeds []string
	// ListAddr is the address of the platform's instance list.
	ListAddr string
}

// Process names this start of the instance, for records that must tell one start from the next.
func (s Self) Process() string { return fmt.Sprintf("%s/%d", s.Name, s.Incarnation) }

// Deps are the parts that the control loop works with.
type Deps struct {
	Store  *revision.Store
	Keeper *revision.Keeper
	Board  *view.Board
	Gates  *admit.Gates
	Pool   *pool.Pool
	Caller *engine.Caller
	Links  *link.Client
	Clock  *timer.Service
	Stats  *metrics.Registry
	Log    *logrus.Logger
}

// Loop is the control goroutine and its helpers.
type Loop struct {
	self  Self
	deps  Deps
	inbox chan message
	http  *http.Client

	stopped chan struct{}

	// What helpers and other goroutines read.
	relay    atomic.Bool
	chosen   atomic.Bool
	fetching atomic.Bool
	alone    atomic.Bool
	leads    atomic.Bool
	// kvReachable is false while the last call to the key-value service failed.
	kvReachable atomic.Bool
	directory   atomic.Pointer[directory]

	// relayProgress is when each relay was last heard to hear the service; it belongs to watch.
	relayProgress map[string]kvProgress

	// The fields below belong to the control goroutine.
	table         *gossip.Table
	members       members
	statusCache   *cache[InstanceStatus]
	backendCache  *cache[backendStatus]
	namesCache    *cache[[]string]
	usageCache    *cache[[]modelUsage]
	index         *view.Index
	backends      map[string]*backend
	listed        []member.Listed
	listedLeaving map[string]bool
	kvAnswers     uint64
	demand        map[string]float64
	leaving       bool
	fastTicks     int
	slowTicks     int
	// updatesDue delivers when news that were gathered are to be followed and spread; it is nil while there are none.
	updatesDue <-chan time.Time
	polls      map[string]*poll
	charged    map[chargedKey]float64
}

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
	// The helpers start with this instance's roles, which it has alone until it hears of others.
	l.refreshMembers()
	go func() { l.run(ctx) }()
	go func() { l.watchHead(ctx) }()
	go func() { l.pollList(ctx) }()
	go func() { l.pollOtherDomains(ctx) }()
	return l
}

// post hands a message to the control goroutine; once that has stopped, the message is dropped.
func (l *Loop) post(m message) {
	select {
	case l.inbox <- m:
	case <-l.stopped:
	}
}

// ask posts a message that carries a channel for its answer and waits for it; the zero answer means that the control
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

// scheduleUpdate makes news be followed and spread soon, together with what else comes until then.
func (l *Loop) scheduleUpdate() {
	if l.updatesDue == nil {
		l.updatesDue = l.deps.Clock.After(collectPeriod)
	}
}

// applyUpdates follows the gathered news and passes them on to one neighbour, as that will to one of its own: they reach all
// in a number of periods that grows with the logarithm of their number, at a cost that does not grow with the news.
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
		l.table.Beat(now)
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
	case exchangeAsked:
		m.answer <- exchangeResponse{Updates: l.table.Delta(m.digest), Digest: l.table.Digest()}
	case deltaAsked:
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
	case statusAsked:
		m.answer <- l.statuses()
	case listAsked:
		m.answer <- append([]member.Listed(nil), l.listed...)
	case serversAsked:
		m.answer <- l.domainServers()
	case leaveRequested:
		l.announceLeave(m)
	}
}

// mergeUpdates takes statements of other instances in.
func (l *Loop) mergeUpdates(updates []gossip.Update) {
	if !l.table.Merge(updates, l.deps.Clock.Now()) {
		return
	}
	l.refreshMembers()
	l.chargeRemote()
	l.scheduleUpdate()
	l.fetchNewer()
}

// applyConfiguration follows a configuration that has just come into force.
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

func (l *Loop) announceLeave(m leaveRequested) {
	l.leaving = true
	l.publishStatus()
	l.refreshMembers()
	l.exchangeWithAll()
	close(m.done)
}

// Leave tells the other instances that this one stops.
func (l *Loop) Leave() {
	ask(l, func(done chan struct{}) message { return leaveRequested{done: done} })
}

// Statuses returns what is known of the domain's instances.
func (l *Loop) Statuses() []InstanceStatus {
	return ask(l, func(answer chan []InstanceStatus) message { return statusAsked{answer: answer} })
}

// Listed returns the platform's instance list as this instance last read it.
func (l *Loop) Listed() []member.Listed {
	return ask(l, func(answer chan []member.Listed) message { return listAsked{answer: answer} })
}
