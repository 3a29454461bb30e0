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
	// newsPeriod gathers news of backend servers before they are spread.
	newsPeriod = 100 * time.Millisecond
	fastPeriod = 400 * time.Millisecond
	slowPeriod = time.Second
	// beatTicks is the number of slow ticks from one sign of life to the next.
	beatTicks = 2
	// mergeTicks is the number of slow ticks after which servers are looked at again although nothing was stated: what an
	// instance said that has gone silent no longer counts.
	mergeTicks  = 5
	inboxLength = 1024
	// exchangeTicks is the number of fast ticks from one exchange to the next when there is no news.
	exchangeTicks = 3
	// silentLimit is the time without news after which an instance is not counted on.
	silentLimit = 12 * time.Second
	forgetLimit = 5 * time.Minute
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
	// hearsKV is false while the last call to the key-value service failed.
	hearsKV   atomic.Bool
	directory atomic.Pointer[directory]

	// relayNews is when each relay was last heard to hear the service; it belongs to watch.
	relayNews map[string]relayNews

	// The fields below belong to the control goroutine.
	table        *gossip.Table
	members      members
	statusCache  *cache[InstanceStatus]
	backendCache *cache[backendStatus]
	namesCache   *cache[[]string]
	usageCache   *cache[[]modelUsage]
	index        *view.Index
	backends     map[string]*backend
	listed       []member.Listed
	leftList     map[string]bool
	heard        uint64
	demand       map[string]float64
	leaves       bool
	ticks        int
	beats        int
	// newsDue delivers when news that were gathered are to be followed and spread; it is nil while there are none.
	newsDue <-chan time.Time
	polls   map[string]*poll
	charged map[chargedKey]float64
}

type relayNews struct {
	heard uint64
	at    time.Time
}

// New returns a Loop and starts it with its helpers; all stop when ctx ends.
func New(ctx context.Context, self Self, deps Deps) *Loop {
	now := deps.Clock.Now()
	l := &Loop{
		self: self, deps: deps, inbox: make(chan message, inboxLength),
		http:         &http.Client{Timeout: 2 * time.Second},
		stopped:      make(chan struct{}),
		table:        gossip.New(self.Name, self.Incarnation, now),
		backends:     map[string]*backend{},
		statusCache:  newCache[InstanceStatus](),
		backendCache: newCache[backendStatus](),
		namesCache:   newCache[[]string](),
		usageCache:   newCache[[]modelUsage](),
		leftList:     map[string]bool{},
		polls:        map[string]*poll{},
		charged:      map[chargedKey]float64{},
		relayNews:    map[string]relayNews{},
	}
	// The helpers start with this instance's roles, which it has alone until it hears of others.
	l.refreshMembers()
	go func() { l.run(ctx) }()
	go func() { l.watch(ctx) }()
	go func() { l.pollList(ctx) }()
	go func() { l.askOthers(ctx) }()
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
		case <-l.newsDue:
			l.spreadNews()
		case <-fast.C():
			l.fastTick()
		case <-slow.C():
			l.slowTick()
		case <-ctx.Done():
			return
		}
	}
}

// gatherNews makes news be followed and spread soon, together with what else comes until then.
func (l *Loop) gatherNews() {
	if l.newsDue == nil {
		l.newsDue = l.deps.Clock.After(newsPeriod)
	}
}

// spreadNews follows the gathered news and passes them on to one neighbour, as that will to one of its own: they reach all
// in a number of periods that grows with the logarithm of their number, at a cost that does not grow with the news.
func (l *Loop) spreadNews() {
	l.newsDue = nil
	if l.mergeBackends() {
		l.publish()
	}
	l.startExchange()
}

func (l *Loop) fastTick() {
	l.setLimits()
	l.startPolls()
	l.ticks++
	if l.ticks%exchangeTicks == 0 || len(l.strangerAddrs()) > 0 {
		l.startExchange()
	}
}

func (l *Loop) slowTick() {
	now := l.deps.Clock.Now()
	l.beats++
	if l.beats%beatTicks == 0 {
		l.table.Beat(now)
	}
	l.table.Forget(now, forgetLimit)
	l.refreshMembers()
	l.stateDemand()
	l.stateUsage()
	if l.beats%mergeTicks == 0 && l.mergeBackends() {
		l.publish()
	}
}

func (l *Loop) handle(m message) {
	switch m := m.(type) {
	case exchangeAsked:
		m.answer <- exchangeAnswer{Updates: l.table.Delta(m.digest), Digest: l.table.Digest()}
	case deltaAsked:
		m.answer <- l.table.Delta(m.digest)
	case updatesArrived:
		l.merge(m.updates)
	case reportArrived:
		l.reported(m)
	case listArrived:
		l.listChanged(m.lines)
	case configured:
		l.configure()
	case heard:
		l.heard++
	case moving:
		l.table.Set(entryMoving, encode(m.names))
		l.gatherNews()
	case statusAsked:
		m.answer <- l.statuses()
	case listAsked:
		m.answer <- append([]member.Listed(nil), l.listed...)
	case ordersAsked:
		m.answer <- l.orders()
	case leaving:
		l.leave(m)
	}
}

// merge takes statements of other instances in.
func (l *Loop) merge(updates []gossip.Update) {
	if !l.table.Merge(updates, l.deps.Clock.Now()) {
		return
	}
	l.refreshMembers()
	l.chargeRemote()
	l.gatherNews()
	l.fetchNewer()
}

// configure follows a configuration that has just come into force.
func (l *Loop) configure() {
	f := l.deps.Keeper.InForce()
	if f == nil || l.index != nil && l.index.Revision() >= f.Head().Revision {
		return
	}
	l.index = view.NewIndex(f)
	l.deps.Stats.Gauge("revision").Update(int64(f.Head().Revision))
	l.deps.Log.WithField("revision", f.Head().Revision).Info("configuration in force")
	l.followDocument()
	l.mergeBackends()
	l.publish()
	l.stateStatus()
	l.exchangeWithAll()
}

func (l *Loop) leave(m leaving) {
	l.leaves = true
	l.stateStatus()
	l.refreshMembers()
	l.exchangeWithAll()
	close(m.done)
}

// Leave tells the other instances that this one stops.
func (l *Loop) Leave() {
	ask(l, func(done chan struct{}) message { return leaving{done: done} })
}

// Statuses returns what is known of the domain's instances.
func (l *Loop) Statuses() []InstanceStatus {
	return ask(l, func(answer chan []InstanceStatus) message { return statusAsked{answer: answer} })
}

// Listed returns the platform's instance list as this instance last read it.
func (l *Loop) Listed() []member.Listed {
	return ask(l, func(answer chan []member.Listed) message { return listAsked{answer: answer} })
}
