package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"junctioncross/timer"
)

const (
	// recordTTL is how long a record lasts unless it is renewed, so that an instance which died still counts for that long.
	// Counting too many is safe, since shared limits are divided by the count, and a long TTL needs few calls.
	recordTTL = 60 * time.Second
	// replacedAfter is how long an instance's record must be missing from the list before it counts as replaced; the list may
	// be some seconds old.
	replacedAfter = 5 * time.Second
)

// adoptRecord takes over the record that an earlier process of this instance has left, if its content is the same. Renewing
// a record costs a twentieth of the calls that writing a new one does, for each instance that restarts.
func (m *Membership) adoptRecord() {
	for _, r := range m.snapshot.Records {
		if r.Instance == m.self {
			m.lease = r.Lease
		}
	}
}

// join writes the record to a slot, and returns the delay until the next step.
func (m *Membership) join(ctx context.Context, slot Slot) time.Duration {
	lease, err := m.registry.Join(ctx, m.self, slot, recordTTL)
	switch {
	case errors.Is(err, ErrTaken):
		m.stats.Counter("records_taken_total").Inc(1)
		m.list(ctx)
		return timer.HalfJitter(slotTakenDelay)
	case err != nil:
		m.log.WithError(err).Warn("record of the instance not written")
		return retryDelay
	}
	m.lease, m.renewedAt, m.missingSince = lease, m.clock.Now(), time.Time{}
	m.ensureKey(ctx)
	return joinSettleDelay
}

// renew renews the record; if that fails, it returns the delay until the next step and false.
func (m *Membership) renew(ctx context.Context) (time.Duration, bool) {
	err := m.registry.Renew(ctx, m.lease)
	switch {
	case errors.Is(err, ErrExpired):
		m.lease = 0
		m.log.Warn("record of the instance has ended")
		return 0, false
	case err != nil:
		m.log.WithError(err).Warn("record of the instance not renewed")
		return renewRetryDelay, false
	}
	m.renewedAt = m.clock.Now()
	return 0, true
}

// chooseSlot returns the slot to write the own record to, and false if this instance needs no record.
func (m *Membership) chooseSlot() (Slot, bool) {
	return chooseSlot(m.snapshot.Records, m.self, m.relayThreshold, rand.IntN)
}

// checkReplaced abandons the own record once it has been missing from the list for replacedAfter, since another instance has
// then replaced it.
func (m *Membership) checkReplaced(records []Record) {
	listed := m.lease == 0 || slices.ContainsFunc(records, func(r Record) bool { return r.Name == m.self.Name })
	switch now := m.clock.Now(); {
	case listed:
		m.missingSince = time.Time{}
	case m.missingSince.IsZero():
		m.missingSince = now
	case now.Sub(m.missingSince) >= replacedAfter:
		m.lease, m.missingSince = 0, time.Time{}
		m.log.Warn("record of the instance was replaced")
	}
}
