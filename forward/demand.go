package forward

import (
	"time"

	"junctioncross/backend"
)

const (
	// recentSlots and slotTime are the parts of the time over which first tries are counted, ten seconds in all: longer than most answers last.
	recentSlots = 10
	slotTime    = time.Second
	// overloadRefusedShare is the part of the first tries that are refused from which overload shows, and sufficientRoomShare the part of the room that first tries
	// alone would take up to which the room should be enough for them.
	overloadRefusedShare = 0.1
	sufficientRoomShare  = 0.9
)

// demand is who asks for the room of a service.
type demand struct {
	// underWay, waiting and told are the streams that have room, those that wait for it, and the callers who were told to come back later;
	// of the first two, returned ones had been refused before.
	underWay, returnedUnderWay int
	waiting, returnedWaiting   int
	toldToRetry                int
	// firstTries are the first tries of the last while, refusedFirstTries those of them that were refused, and firstTriesAlone the streams that first tries would
	// keep under way if each was served at once.
	firstTries, refusedFirstTries int
	firstTriesAlone               float64
}

// demand returns who asks for room now.
func (q *queue) demand(now time.Time) demand {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := demand{underWay: len(q.underWay), waiting: len(q.waiting), toldToRetry: q.dueRetriesLocked(now, now.Add(time.Hour))}
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

// outlastsCause reports whether first tries are refused although they alone would leave room: what keeps them out is what came back, and the cause
// of the overload may be gone.
func (d demand) outlastsCause(room float64) bool {
	return d.firstTries > 0 && float64(d.refusedFirstTries) >= overloadRefusedShare*float64(d.firstTries) && d.firstTriesAlone <= sufficientRoomShare*room
}

// countTry counts a stream that its caller asks for the first time, and countRefused one of them that is refused.
func (h *Handler) countTry(f *inflight) {
	if q := h.queueOf(f.r.group.Service().Name); !f.returned {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.firstTries.Add(h.clock.Now())
	}
}

func (h *Handler) countRefused(f *inflight, last outcome) {
	if _, ok := last.(notRun); !ok || f.returned || f.r.x.Begun() {
		return
	}
	q := h.queueOf(f.r.group.Service().Name)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refusedFirstTries.Add(h.clock.Now())
}

// measureDemand tells who asks for the room of a service, against the instance's part of that room.
func (h *Handler) measureDemand(name string, group *backend.Group, now time.Time) {
	d := h.queueOf(name).demand(now)
	own, others, _ := h.sequences(h.lanesOf(group, now))
	room := float64(own+others) / float64(max(h.census.Instances(), 1))
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
}
