package admission

import (
	"math"
	"time"

	"junctioncross/demand"
)

const (
	// queueTime and queueChance make up the queue that is aimed at while the first tries are as many as the streams that end: what
	// ends in queueTime, for errors that grow with the rates, and queueChance times what chance changes. The queue then rarely empties,
	// so that no room stays free. It is shorter the more first tries there are: their rate, as a multiple of that of ends and at most
	// maxExcess, divides it with the power queueExponent. With more refused callers around a queue is filled again sooner, and in a
	// shorter one fewer of the less urgent requests wait in vain.
	queueTime     = 75 * time.Millisecond
	queueChance   = 3
	queueExponent = 0.7
	maxExcess     = 2.5
	// steadyTime is how long first tries take to bring the queue to its target. It is long, so that a queue that changes by chance
	// hardly moves their levels: what is missing sooner is taken from returned callers.
	steadyTime = 5 * time.Second
	// sharedTime replaces steadyTime while the room that is found is less than aloneShare of the reported room, because instances
	// outside the totals take the rest: of two parts of a fleet that do not know each other, the slower one loses room to the other.
	sharedTime = 2500 * time.Millisecond
	aloneShare = 0.9
	// fillTime and drainTime are how long returned callers take to fill a short queue and to make up for a long one; they are longer
	// than totals are old.
	fillTime  = 2 * time.Second
	drainTime = 3 * time.Second
	// chanceTime is the time over which the queue deviates by chance before anything can answer: about the age of totals. The
	// standard deviation of the arrivals in that time is the unit of queueChance and of the next three constants.
	chanceTime = time.Second
	// shortQueue is the queue below which returned callers are admitted to fill it, longQueue how far above its target they are held
	// back, and freeRoom the free room beyond which first tries are admitted quickly to fill it.
	shortQueue = 3.5
	longQueue  = 1
	freeRoom   = 1
	// calmFill is the part of the room up to which returned callers fill it while all first tries fit, so that these do not have to
	// wait because of returns.
	calmFill = 0.95
	// smoothTime is the time constant with which the rates to be admitted follow the totals.
	smoothTime = 500 * time.Millisecond
)

// estimate computes how many streams a second are to be admitted: as many as end, corrected by what is missing to a full room and to
// the wanted queue, and by those that wait in vain. offered is the rate of the first tries, and inVain that of those that do not begin.
func (c *capacity) estimate(t *demand.Totals, offered, inVain float64, dt time.Duration) {
	used, waiting := float64(t.UnderWay), float64(t.Waiting)
	timeInRoom := t.Lifetime.Seconds()
	if used > 0 {
		// By Little's law, the part of the lifetime that is not spent in the queue.
		timeInRoom *= max(used/(used+waiting), minInRoomShare)
	}
	c.ending = max(c.found/timeInRoom, c.ends)
	// Parts of a fleet that do not know each other share the chance of the whole like its room.
	chance := math.Sqrt(c.ending * chanceTime.Seconds() * c.found / t.Room)
	// The queue is negative while room is free.
	queue, wanted := used+waiting-c.found, c.wantedQueue(offered, chance)
	free := max(-queue-freeRoom*chance, 0)
	c.roomLeft = free > 0
	c.calm = c.ending + (calmFill*c.found-used-waiting)/fillTime.Seconds()
	steady := c.ending + inVain + (wanted-queue)/c.steadyTime(t.Room).Seconds() + free/fillTime.Seconds()
	c.follow(max(steady, minCapacityShare*c.ending), extraRate(queue, wanted, chance), dt)
}

// wantedQueue returns how many requests are to wait; chance is the standard deviation of the queue.
func (c *capacity) wantedQueue(offered, chance float64) float64 {
	if c.ending <= 0 {
		return 0
	}
	excess := min(max(offered/c.ending, 1), maxExcess)
	return (queueTime.Seconds()*c.ending + queueChance*chance) / math.Pow(excess, queueExponent)
}

// steadyTime returns how long first tries take to bring the queue to its target; room is the reported room.
func (c *capacity) steadyTime(room float64) time.Duration {
	if c.found < aloneShare*room {
		return sharedTime
	}
	return steadyTime
}

// extraRate returns how many returned callers a second are to be admitted beyond their share to fill a short queue; it is negative
// if they are to be held back because of a long one. chance is the standard deviation of the queue.
func extraRate(queue, wanted, chance float64) float64 {
	missing := max(min(shortQueue*chance, wanted)-queue, 0)
	beyond := max(queue-wanted-longQueue*chance, 0)
	return missing/fillTime.Seconds() - beyond/drainTime.Seconds()
}

// follow moves the rates to be admitted towards new ones.
func (c *capacity) follow(steady, extra float64, dt time.Duration) {
	if c.steady == 0 {
		c.steady = steady
	}
	c.steady += (steady - c.steady) * gain(dt, smoothTime)
	c.extra += (extra - c.extra) * gain(dt, smoothTime)
}
