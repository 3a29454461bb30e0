package admission

import (
	"math"
	"time"

	"junctioncross/demand"
)

const (
	// queueTime is the mean wait that is aimed at while the room is short: the queue then rarely empties, so that no room stays
	// free.
	queueTime = 300 * time.Millisecond
	// fillTime and drainTime are how long it takes to bring the streams under way and waiting to their target, from below and
	// from above; they are longer than totals are old.
	fillTime  = 2 * time.Second
	drainTime = 3 * time.Second
	// shortFill is the number of streams under way and waiting, as a part of the room that is found, from which on the room
	// counts as short, and tightFill that below which it no longer does.
	shortFill = 0.97
	tightFill = 0.9
	// shortRefused is the part of the first tries whose refusal, not by the levels, shows that the room is short.
	shortRefused = 0.02
	// waitingShare is the number of waiting requests, as a part of the room, which shows that no room is free.
	waitingShare = 0.01
	// idleWaitingShare is the same part below which some room may be free.
	idleWaitingShare = 0.005
	// minFoundShare is the least part of the reported room that is taken for the room that these instances find.
	minFoundShare = 0.2
	// loseTime and regainTime are the time constants with which the room that is found follows less and more room.
	loseTime   = 250 * time.Millisecond
	regainTime = 15 * time.Second
	// endsTime is the time constant with which the rate of ends is followed.
	endsTime = 2 * time.Second
	// minCapacityShare is the least capacity, as a part of the streams that end a second, while too many streams wait.
	minCapacityShare = 0.25
	// minInRoomShare is the least part of the lifetime that streams are taken to spend in the room.
	minInRoomShare = 0.5
	// smoothTime is the time constant with which the capacity follows the totals.
	smoothTime = 500 * time.Millisecond
	// endsHorizon is the index, in demand.Horizons, of the time over which the rate of ends is taken.
	endsHorizon = 2
)

// fullness says how full the room is. While it is tight, it counts as short if it was short before.
type fullness int

const (
	roomFree fullness = iota
	roomTight
	roomShort
)

// capacity estimates how many streams a second find room.
type capacity struct {
	// found is the room that the instances of the totals find; other instances, or lost servers, may take the rest.
	found float64
	// ends is the rate at which streams ended while the room was full, a second.
	ends float64
	// ending is how many streams a second end while the room is full; parts of the room are parts of it.
	ending float64
	// smooth is the capacity without its short-lived changes, a second.
	smooth float64
}

// update takes in new totals, dt after the former ones; refused is the part of the first tries that was refused, not by the
// levels. It returns how full the room is.
func (c *capacity) update(t *demand.Totals, refused float64, dt time.Duration) fullness {
	used := float64(t.UnderWay)
	if c.found == 0 {
		c.found = t.Room
	}
	noneFree := refused > shortRefused || float64(t.Waiting) > waitingShare*c.found+1
	switch {
	case noneFree && used < c.found:
		c.found += (max(used, minFoundShare*t.Room) - c.found) * gain(dt, loseTime)
	case float64(t.Waiting) < idleWaitingShare*c.found:
		c.found += (t.Room - c.found) * gain(dt, regainTime)
	}
	c.found = max(min(c.found, t.Room), used)
	if used >= shortFill*c.found {
		// Reports may count streams that begin within the horizon.
		ending := min(t.Ends[endsHorizon], used) / demand.Horizons[endsHorizon].Seconds()
		c.ends += (ending - c.ends) * gain(dt, endsTime)
	}
	switch filled := used + float64(t.Waiting); {
	case noneFree || filled >= shortFill*c.found:
		return roomShort
	case filled >= tightFill*c.found:
		return roomTight
	default:
		return roomFree
	}
}

// perSecond returns how many streams a second are to be admitted: as many as end, corrected by what is missing to a full room and
// a queue of queueTime.
func (c *capacity) perSecond(t *demand.Totals, dt time.Duration) float64 {
	used, waiting := float64(t.UnderWay), float64(t.Waiting)
	timeInRoom := t.Lifetime.Seconds()
	if used > 0 {
		// By Little's law, the part of the lifetime that is not spent in the queue.
		timeInRoom *= max(used/(used+waiting), minInRoomShare)
	}
	c.ending = max(c.found/timeInRoom, c.ends)
	missing, within := c.found+queueTime.Seconds()*c.ending-used-waiting, fillTime
	if missing < 0 {
		within = drainTime
	}
	target := max(c.ending+missing/within.Seconds(), minCapacityShare*c.ending)
	if c.smooth == 0 {
		c.smooth = target
	}
	c.smooth += (target - c.smooth) * gain(dt, smoothTime)
	return c.smooth
}

// gain returns the part of a difference that is made up in dt, if it decays with the time constant.
func gain(dt, constant time.Duration) float64 { return 1 - math.Exp(-dt.Seconds()/constant.Seconds()) }
