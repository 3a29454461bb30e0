package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"junctioncross/metrics"
	"junctioncross/supervise"
	"junctioncross/timer"
)

const (
	// partName is the name of this part in lines on panics.
	partName = "membership"
	// callTimeout bounds one call to the registry.
	callTimeout = time.Second
	// AssumedInstances is the number of instances that is assumed until they are counted. It is twice the size of the largest
	// fleet, so that each instance's share of a shared limit is safe.
	AssumedInstances = 2000
)

// Membership counts the instances of the fleet and maintains the registration record of its own instance.
type Membership struct {
	*View
	registry Registry
	self     Instance
	clock    *timer.Service
	stats    *metrics.Registry
	log      *logrus.Logger
	newKey   func() ([]byte, error)
	// snapshot is the result of the last read.
	snapshot Snapshot
	lease    int64
	// renewedAt is when the record was last written or renewed for its full TTL.
	renewedAt time.Time
	// count is the number of instances that the last read found; sameCounts is the number of earlier reads in a row that found
	// the same number.
	count, sameCounts int
	// missingSince is when the own record went missing from the list; zero while it is listed.
	missingSince time.Time
	// faults are what the last read found in records and counts that can't be true.
	faults []fault
}

// New returns a Membership and starts it: it publishes what it reads to the view, and stops when ctx ends. NewKey generates a
// key for a fleet that has none.
func New(
	ctx context.Context, view *View, registry Registry, self Instance, newKey func() ([]byte, error), clock *timer.Service,
	stats *metrics.Registry, log *logrus.Logger,
) *Membership {
	m := &Membership{View: view, registry: registry, self: self, newKey: newKey, clock: clock, stats: stats, log: log}
	guard := supervise.New(clock, stats, log)
	go func() { guard.Keep(ctx, partName, supervise.NoWork, m.run) }()
	return m
}

// run reads the records and maintains the own one until ctx ends. After a panic it begins anew: the own record is found in the list again,
// and what was published last stays.
func (m *Membership) run(ctx context.Context) {
	m.startUp(ctx)
	for ctx.Err() == nil {
		m.clock.Sleep(ctx, m.step(ctx))
	}
}

// startUp reads the records. An instance that joins a running fleet knows at once which instances to poll. Among instances
// that find no records the strongest register first, and the others read once more before they do.
func (m *Membership) startUp(ctx context.Context) {
	failed := false
	for !m.refresh(ctx) && m.clock.Sleep(ctx, timer.HalfJitter(firstCountRetryDelay)) {
		failed = true
	}
	m.adoptRecord()
	alone := len(m.Members()) == 0
	if alone {
		m.clock.Sleep(ctx, emptyFleetDelayOf(m.self.Power))
	}
	if alone && failed {
		m.clock.Sleep(ctx, firstCountSpread)
	}
	m.clock.Sleep(ctx, time.Duration(rand.Float64()*float64(startJitter)))
	if !alone || !m.list(ctx) {
		return
	}
	if _, joins := m.chooseSlot(); !joins {
		m.publish()
	}
}

// step joins, renews the record or reads the records, and returns the delay until the next step.
func (m *Membership) step(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if m.lease == 0 {
		if slot, ok := m.chooseSlot(); ok {
			return m.join(ctx, slot)
		}
	}
	if m.lease != 0 && m.clock.Since(m.renewedAt) >= countInterval {
		if delay, ok := m.renew(ctx); !ok {
			return delay
		}
	}
	switch {
	case !m.refresh(ctx):
		return retryDelay
	case len(m.Key()) == 0:
		return missingKeyDelay
	}
	if m.trackCount(); m.lease == 0 {
		// Without the jitter many instances without a record would read at the same moment.
		return timer.HalfJitter(m.nextReadDelayWithoutRecord())
	}
	return m.nextReadDelay()
}

// refresh reads the records, publishes them, and reports whether that succeeded.
func (m *Membership) refresh(ctx context.Context) bool {
	if !m.list(ctx) {
		return false
	}
	m.publish()
	if len(m.snapshot.Key) == 0 {
		m.ensureKey(ctx)
	}
	return true
}

// list reads the records and reports whether that succeeded.
func (m *Membership) list(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := m.registry.List(ctx)
	if err != nil {
		m.log.WithError(err).Warn("instances not counted")
		return false
	}
	if len(snapshot.Key) == 0 {
		snapshot.Key = m.snapshot.Key
	}
	if len(snapshot.Records) == 0 && m.lease != 0 {
		// The list may be older than the own record.
		snapshot.Records = []Record{{Instance: m.self, Lease: m.lease}}
	}
	usable, faults := usableRecords(snapshot.Records)
	snapshot.Records = usable
	m.logFaults(append(faults, m.takeCountFaults()...))
	m.snapshot = snapshot
	m.setEmpty(len(snapshot.Records) == 0)
	m.checkReplaced(snapshot.Records)
	return true
}

// publish updates the view from the last snapshot. Instances that start together must not publish the first few records,
// which look like the whole of a small fleet.
func (m *Membership) publish() {
	snapshot := m.snapshot
	before, after := m.setSnapshot(&snapshot)
	m.stats.Gauge("instances_counted").Update(int64(m.Instances()))
	m.stats.Gauge("instances_with_records").Update(int64(after))
	if before != after {
		m.log.WithFields(logrus.Fields{"instances": after, "before": before}).Info("instances counted")
	}
}

// ensureKey creates the fleet key if there is none and this instance has the lowest name of those with a record; the other
// instances find the key at their next read.
func (m *Membership) ensureKey(ctx context.Context) {
	if len(m.snapshot.Key) > 0 || m.lease == 0 {
		return
	}
	for _, r := range m.snapshot.Records {
		if r.Name < m.self.Name {
			return
		}
	}
	key, err := m.newKey()
	if err == nil {
		key, err = m.registry.EnsureKey(ctx, key)
	}
	if err != nil {
		m.log.WithError(err).Warn("the fleet's key not written")
		return
	}
	m.snapshot.Key = key
	m.setKey(key)
}
