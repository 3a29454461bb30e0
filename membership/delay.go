package membership

import "time"

const (
	// emptyFleetDelay is how long an instance of full power that finds no records waits before it joins. Instances that start
	// together with it have read the records by then and found none either; otherwise some would take the first few records for
	// the whole fleet and read the store directly, as a fleet too small for relays does. Weaker instances wait longer, up to
	// maxEmptyFleetDelay, so that the strongest, which can serve as relays, register first.
	emptyFleetDelay    = 300 * time.Millisecond
	maxEmptyFleetDelay = 1500 * time.Millisecond
	// startJitter bounds the random delay that spreads the registrations of instances that start together.
	startJitter = 700 * time.Millisecond
	// joinSettleDelay is the delay between joining and the next read of the records; all instances that started together have
	// joined by then.
	joinSettleDelay = time.Second
	// recountDelay is the delay before the records are read once more after a read that found the same number of instances as
	// the one before. By then even the slowest of the instances that started together have registered.
	recountDelay = 2500 * time.Millisecond
	// slotTakenDelay bounds the delay after a slot turned out to be taken; half of it is random.
	slotTakenDelay = time.Second
	// missingKeyDelay is the delay between reads while the fleet key is missing; without it no instance can poll another one.
	missingKeyDelay = 300 * time.Millisecond
	// unknownCountDelay is the delay between reads of an instance that has a record, while the relays do not know the number of
	// instances or have just found another number.
	unknownCountDelay = time.Second
	// countInterval is how often the records are read and the own record is renewed.
	countInterval = 15 * time.Second
	// renewRetryDelay is the delay after a failed renewal; a record outlasts many of them.
	renewRetryDelay = 5 * time.Second
	// retryDelay is the delay after any other failed call.
	retryDelay = 2 * time.Second
	// firstCountRetryDelay bounds the delay after a failed first read; half of it is random. Until a read succeeds, the
	// instance knows no relay and no key to authenticate with, and reads all feeds from the store, which costs more than
	// reading the records.
	firstCountRetryDelay = 500 * time.Millisecond
	// firstCountSpread is added to emptyFleetDelay after a failed first read: once the store answers again, the first reads that
	// succeed are spread over as much as the timeout of a call.
	firstCountSpread = callTimeout
)

// emptyFleetDelayOf returns how long an instance of the given power that finds no records waits before it joins.
func emptyFleetDelayOf(power float64) time.Duration {
	if power <= 0 {
		return maxEmptyFleetDelay
	}
	return min(time.Duration(float64(emptyFleetDelay)/min(power, 1)), maxEmptyFleetDelay)
}

// trackCount updates the number of reads in a row that have found the same number of instances.
func (m *Membership) trackCount() {
	if n := m.Instances(); n != m.count {
		m.count, m.sameCounts = n, 0
		return
	}
	m.sameCounts++
}

// nextReadDelay returns the delay until an instance with a record reads again. Shared limits are divided by the number of
// instances, so that a number that was read while others were still joining must soon be corrected.
func (m *Membership) nextReadDelay() time.Duration {
	switch {
	case m.sameCounts == 0 && m.count == AssumedInstances, m.sameCounts == 1 && m.count != AssumedInstances:
		return recountDelay
	case m.sameCounts == 0, m.count == AssumedInstances:
		return unknownCountDelay
	default:
		return countInterval
	}
}

// nextReadDelayWithoutRecord returns the longest delay until an instance without a record reads again. While the number
// of instances changes or is unknown, its list may lack the relay of its domain, so that no relay counts the instance.
func (m *Membership) nextReadDelayWithoutRecord() time.Duration {
	if m.sameCounts == 0 || m.count == AssumedInstances {
		return recountDelay
	}
	return countInterval
}
