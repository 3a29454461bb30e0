package forward

import (
	"slices"
	"sync"
	"time"

	"junctioncross/retry"
)

const (
	// roomPoll is how often a waiting request looks for room.
	roomPoll = 15 * time.Millisecond
	// initialLifetime, initialFirstEvent and initialOutage are the mean lifetime of a stream, the mean time to its first event
	// and the mean length of a path outage that are assumed before any have been seen: an answer of usual length, a prompt that
	// is processed at once, and longer than a caller waits, since nothing shows yet that a path comes back in time.
	initialLifetime   = 3 * time.Second
	initialFirstEvent = 100 * time.Millisecond
	initialOutage     = 3 * time.Second
	// firstEventQuantile is the part of the first events that arrive within the usual time.
	firstEventQuantile = 0.75
	// initialEnds is the weight of the initial assumption that each own stream that ends makes one place free, in streams;
	// after maxEnds ends, older ones count half.
	initialEnds = 8.0
	maxEnds     = 64.0
)

// queue holds the requests of one service that wait for room. The order is by urgency, then returning callers before others, or
// after them where ranks differ, then by arrival. It also keeps the statistics from which room is predicted.
type queue struct {
	mu      sync.Mutex
	waiting []*inflight
	// underWay holds the streams that have room, with the arrival time of their requests.
	underWay map[*inflight]time.Time
	// lifetimes, firstEvents and outages are samples of how long streams last, how long their first events take, and how long
	// the service has no path.
	lifetimes, firstEvents, outages sample
	// ratios are the durations of answers as a multiple of the predicted ones, in ratioUnit.
	ratios sample
	// outageSince is when a call first found no path; zero while there is one.
	outageSince time.Time
	// endedWhileWaiting counts own streams that ended while a request was waiting, and admitted the requests that found room
	// after a wait.
	endedWhileWaiting, admitted float64
	// retryTimes holds the moments at which refused callers were told to come back, in no particular order.
	retryTimes []time.Time
	// firstTries and refusedFirstTries count the recent first tries, and those of them that were refused.
	firstTries, refusedFirstTries *retry.WindowCounter
	// classes counts the recent requests by class, and told the callers who were told to come back.
	classes classRates
	told    rateCounter
}

func newQueue() *queue {
	return &queue{
		lifetimes: newSample(initialLifetime), firstEvents: newSample(initialFirstEvent),
		outages: newSample(initialOutage), ratios: newSample(ratioUnit),
		endedWhileWaiting: initialEnds, admitted: initialEnds, underWay: map[*inflight]time.Time{},
		firstTries: retry.NewWindowCounter(recentSlots, slotTime), refusedFirstTries: retry.NewWindowCounter(recentSlots, slotTime),
		told: newRateCounter(toldSlots, toldSlot),
	}
}

// join adds a request and returns the number of requests ahead of it.
func (q *queue) join(f *inflight) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	at := len(q.waiting)
	for ; at > 0 && f.before(q.waiting[at-1]); at-- {
		q.waiting[at-1].r.overtaken++
	}
	q.waiting = slices.Insert(q.waiting, at, f)
	return at
}

// maxOvertaken is how often more urgent requests may overtake one that has waited longer. Under lasting overload it leaves the
// less urgent requests a quarter of the turns.
const maxOvertaken = 3

// before reports whether a request goes ahead of one that has waited longer.
func (f *inflight) before(other *inflight) bool {
	if c := f.r.rank.Compare(other.r.rank); c != 0 {
		return c < 0 && other.r.overtaken < maxOvertaken
	}
	if f.firstTriesFirst || other.firstTriesFirst {
		return !f.returned && other.returned && other.r.overtaken < maxOvertaken
	}
	return f.returned && !other.returned
}

func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) == 0
}

func (q *queue) leave(f *inflight) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, f); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// isFirst reports whether a request is at the head of the queue.
func (q *queue) isFirst(f *inflight) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) > 0 && q.waiting[0] == f
}

// addUnderWay notes that a stream whose request arrived at the given time now has room.
func (q *queue) addUnderWay(f *inflight, arrived time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.underWay[f] = arrived
}

// removeUnderWay notes that a stream no longer needs its room.
func (q *queue) removeUnderWay(f *inflight) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.underWay, f)
}

// ended adds the lifetime of a stream that has ended to the statistics.
func (q *queue) ended(life time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lifetimes.add(life)
	if len(q.waiting) > 0 {
		q.endedWhileWaiting++
	}
	if q.endedWhileWaiting > maxEnds {
		q.endedWhileWaiting, q.admitted = q.endedWhileWaiting/2, q.admitted/2
	}
}

// observePath notes whether there is a path now. It returns how long the current outage has lasted, or the one that ends with
// this call, and whether there is still no path.
func (q *queue) observePath(path bool, now time.Time) (outage time.Duration, ongoing bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.outageSince.IsZero() {
		outage = now.Sub(q.outageSince)
	}
	switch {
	case path && outage > 0:
		q.outages.add(outage)
		q.outageSince = time.Time{}
	case !path && q.outageSince.IsZero():
		q.outageSince = now
	}
	return outage, !path
}

// forecastLocked returns a forecast from the ages of the streams under way, without those that are stalled: these make no room,
// as when the instance is partitioned from the servers.
func (q *queue) forecastLocked(now time.Time, stalled func(*inflight) bool) forecast {
	c := forecast{lifetimes: &q.lifetimes, ages: make([]time.Duration, 0, len(q.underWay)), placesPerEnd: q.admitted / q.endedWhileWaiting}
	for f, arrived := range q.underWay {
		if !stalled(f) {
			c.ages = append(c.ages, now.Sub(arrived))
		}
	}
	return c
}

// placesLocked returns how many places must become free before a request gets room: those for the requests ahead of it, for
// callers who were told to come back by the time until and go first, and its own.
func (q *queue) placesLocked(f *inflight, now, until time.Time) float64 {
	places := f.places()
	for _, other := range q.waiting {
		if other == f {
			break
		}
		places += other.places()
	}
	if !f.returned && !f.firstTriesFirst {
		places += float64(q.dueRetriesLocked(now, until))
	}
	return places
}

// dueRetriesLocked returns how many refused callers were told to come back by the time until. It forgets those whose time has
// passed.
func (q *queue) dueRetriesLocked(now, until time.Time) int {
	q.retryTimes = slices.DeleteFunc(q.retryTimes, func(at time.Time) bool { return at.Before(now) })
	due := 0
	for _, at := range q.retryTimes {
		if !at.After(until) {
			due++
		}
	}
	return due
}

// countAdmitted counts a request that found room after a wait.
func (q *queue) countAdmitted() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admitted++
}

// observeFirstEvent adds the time to a first event to the statistics.
func (q *queue) observeFirstEvent(after time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.firstEvents.add(after)
}

// usualFirstEvent returns the time within which most first events arrive.
func (q *queue) usualFirstEvent() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.firstEvents.quantile(firstEventQuantile)
}

func (h *Handler) queueOf(service string) *queue {
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.queues[service]
	if q == nil {
		q = newQueue()
		h.queues[service] = q
	}
	return q
}
