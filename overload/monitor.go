package overload

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	gometrics "github.com/rcrowley/go-metrics"

	"junctioncross/metrics"
	"junctioncross/supervise"
	"junctioncross/timer"
)

const (
	// partName is the name of this part in lines on panics.
	partName = "load"
	// period is the time between two readings of the load.
	period = 50 * time.Millisecond
	// spanPeriods is the number of periods over which the load is taken: all instances of a fleet may have much to do at one moment, as when a
	// configuration comes.
	spanPeriods = 6
	// maxCountedWait bounds what one period counts, so that a single stop of the process, however long, is no overload.
	maxCountedWait = 100 * time.Millisecond
	// logPeriod is the least time between two log lines about the load.
	logPeriod = time.Second
)

// Monitor measures the load of the instance and decides which new connections it takes.
type Monitor struct {
	limits Limits
	clock  *timer.Service
	stats  *metrics.Registry
	log    *logrus.Logger
	sent   atomic.Int64
	shed   gometrics.Counter
	gauges gauges

	mu   sync.Mutex
	gate gate

	// runtime, history, shedding and loggedAt are used by the measuring goroutine alone; shedding is what was logged last, at loggedAt.
	runtime  *runtimeMetrics
	history  []measurement
	shedding bool
	loggedAt time.Time
}

// measurement is what was used up to a moment, and how long goroutines have waited for the processor since the one before.
type measurement struct {
	at    time.Time
	usage usage
	wait  time.Duration
}

// New returns a Monitor that measures the load until ctx ends and tells the clock how late the process gets the processor.
func New(ctx context.Context, limits Limits, clock *timer.Service, stats *metrics.Registry, log *logrus.Logger) *Monitor {
	m := &Monitor{
		limits: limits, clock: clock, stats: stats, log: log, gate: newGate(), runtime: newRuntimeMetrics(),
		shed: stats.Counter("connections_shed_total"), gauges: newGauges(stats),
	}
	ticks, guard, due := clock.Subscribe(period), supervise.New(clock, stats, log), clock.Now().Add(period)
	go func() {
		guard.OnTicks(ctx, partName, ticks, func() {
			now := clock.Now()
			late := now.Sub(due)
			due = now.Add(period)
			m.measure(now, late)
		})
	}()
	return m
}

// measure takes one measurement; late is how much later than planned it comes.
func (m *Monitor) measure(now time.Time, late time.Duration) {
	wait, memory := m.runtime.read()
	wait = max(wait, late)
	m.clock.NoteDelay(wait, period)
	used, err := processorTime()
	if err != nil {
		m.stats.Counter("load_not_measured_total").Inc(1)
		return
	}
	current := measurement{at: now, usage: usage{processor: used, sent: m.sent.Load(), memory: memory}, wait: wait}
	m.history = append(m.history, current)
	if len(m.history) <= spanPeriods {
		return
	}
	former := m.history[0]
	m.history = append(m.history[:0], m.history[1:]...)
	m.apply(m.limits.pressureOn(former.usage, current.usage, now.Sub(former.at), meanWait(m.history)), now)
}

// meanWait returns the mean of the longest waits of some periods.
func meanWait(history []measurement) time.Duration {
	all := time.Duration(0)
	for _, m := range history {
		all += min(m.wait, maxCountedWait)
	}
	return all / time.Duration(len(history))
}

// apply adjusts the share of new connections that are taken.
func (m *Monitor) apply(p Pressure, now time.Time) {
	share := m.adjust(p)
	m.gauges.update(p, share, m.clock.Delay())
	shedding := share < 1
	if shedding != m.shedding && (!shedding || now.Sub(m.loggedAt) >= logPeriod) {
		m.shedding, m.loggedAt = shedding, now
		m.logChange(p, share)
	}
}

// adjust adjusts the gate and returns the share of new connections that it lets in.
func (m *Monitor) adjust(p Pressure) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gate.adjust(p.Most())
	return m.gate.share
}

func (m *Monitor) logChange(p Pressure, share float64) {
	fields := logrus.Fields{
		"resource": p.Scarcest(), "processor": p.Processor, "link": p.Link, "memory": p.Memory, "delay_ms": m.clock.Delay().Milliseconds(),
		"taken": share, "shed": m.shed.Count(),
	}
	if m.shedding {
		m.log.WithFields(fields).Warn("instance is overloaded")
		return
	}
	m.log.WithFields(fields).Info("instance has room again")
}

// TakeConnection reports whether a new connection is to be served; one that is not is to be closed unread, so that its caller asks another
// instance.
func (m *Monitor) TakeConnection() bool {
	m.mu.Lock()
	taken := m.gate.take(m.clock.Now())
	m.mu.Unlock()
	if !taken {
		m.shed.Inc(1)
	}
	return taken
}

// KeepConnection reports whether a connection may stay open after an answer: while connections are shed, callers with open ones are sent
// away by the same share.
func (m *Monitor) KeepConnection() bool {
	m.mu.Lock()
	share := m.gate.share
	m.mu.Unlock()
	return share >= 1 || rand.Float64() < share
}

// NoteSent counts a message that was sent over the link.
func (m *Monitor) NoteSent(bytes int) { m.sent.Add(int64(bytes) + segmentBytes) }
