package forward

import (
	"time"

	"junctioncross/backend"
)

const (
	// First tries, which are the requests of callers that were not refused before, are counted over recentSlots intervals of
	// slotTime. That is ten seconds in all: longer than most answers last.
	recentSlots = 10
	slotTime    = time.Second
	// overloadRefusedShare is the part of the first tries that must be refused for a service to count as overloaded.
	// sufficientRoomShare is the part of the room that first tries alone may take up if the room is to count as sufficient for
	// them.
	overloadRefusedShare = 0.1
	sufficientRoomShare  = 0.9
)

// roomDemand describes whose streams need the room of a service.
type roomDemand struct {
	// underWay is the number of streams that have room, waiting those that wait for it, and toldToRetry the callers who were
	// told to come back later. The returned ones are those of returning callers.
	underWay, returnedUnderWay int
	waiting, returnedWaiting   int
	toldToRetry                int
	// firstTries are the recent first tries, refusedFirstTries those of them that were refused, and firstTriesAlone the number
	// of streams that would be under way if there were only first tries and each was served at once.
	firstTries, refusedFirstTries int
	firstTriesAlone               float64
}

// demand returns who needs room now.
func (q *queue) demand(now time.Time) roomDemand {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := roomDemand{underWay: len(q.underWay), waiting: len(q.waiting), toldToRetry: q.dueRetriesLocked(now, now.Add(time.Hour))}
	for f := range q.underWay {
		if f.returned {
			d.returnedUnderWay++
		}
	}
	for _, f := range q.waiting {
		if f.returned {
			d.returnedWaiting++
		}
	}
	d.firstTries, d.refusedFirstTries = q.firstTries.Sum(now), q.refusedFirstTries.Sum(now)
	perSecond := float64(d.firstTries) / (recentSlots * slotTime.Seconds())
	d.firstTriesAlone = perSecond * q.lifetimes.mean().Seconds()
	return d
}

// outlastsCause reports whether first tries are refused although there would be room for them alone. The load is then kept up
// by retries, and the original cause of the overload may be gone (metastable overload).
func (d roomDemand) outlastsCause(room float64) bool {
	return d.firstTries > 0 && float64(d.refusedFirstTries) >= overloadRefusedShare*float64(d.firstTries) &&
		d.firstTriesAlone <= sufficientRoomShare*room
}

// countTry counts a stream, as the first try of its caller or as a later one.
func (h *Handler) countTry(f *inflight) {
	q, now := h.queueOf(f.r.group.Service().Name), h.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	counters := q.classes.of(h.classOf(f.r), now)
	if f.certainlyReturned {
		counters.returned.add(now)
	} else {
		counters.offered.add(now)
	}
	if !f.returned {
		q.firstTries.Add(now)
	}
}

// countRefused counts a stream if it is the first try of its caller and is refused.
func (h *Handler) countRefused(f *inflight, last outcome) {
	if _, ok := last.(notRun); !ok || f.certainlyReturned || f.r.x.Begun() {
		return
	}
	q := h.queueOf(f.r.group.Service().Name)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := h.clock.Now()
	if !f.returned {
		q.refusedFirstTries.Add(now)
	}
	q.classes.of(h.classOf(f.r), now).refused.add(now)
}

// measureDemand exports who needs the room of a service, and how much of that room is this instance's share.
func (h *Handler) measureDemand(name string, group *backend.Group, now time.Time) {
	d := h.queueOf(name).demand(now)
	own, others, _ := h.sequences(h.lanesOf(group, now))
	room := float64(own+others) / float64(max(h.instances.Instances(), 1))
	h.gauge("streams_under_way", "service", name, int64(d.underWay))
	h.gauge("returned_under_way", "service", name, int64(d.returnedUnderWay))
	h.gauge("streams_waiting", "service", name, int64(d.waiting))
	h.gauge("returned_waiting", "service", name, int64(d.returnedWaiting))
	h.gauge("told_to_come_back", "service", name, int64(d.toldToRetry))
	h.gauge("first_tries_recent", "service", name, int64(d.firstTries))
	h.gauge("first_tries_refused_recent", "service", name, int64(d.refusedFirstTries))
	h.gauge("first_tries_alone", "service", name, int64(d.firstTriesAlone))
	h.gauge("room_part", "service", name, int64(room))
	outlasts := int64(0)
	if d.outlastsCause(room) {
		outlasts = 1
	}
	h.gauge("overload_outlasts", "service", name, outlasts)
	h.measureDomain(name, now)
}
