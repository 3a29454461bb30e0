package admission

import (
	"math"
	"time"
)

const (
	// fallTime and riseTime are the time constants with which the level of a class follows a lower and a higher share.
	fallTime = 250 * time.Millisecond
	riseTime = 500 * time.Millisecond
	// minLevelSpeed is how much the level of first tries moves in a second at most while the levels admit about what was allotted: of
	// five callers that ask again a second later, four get the same answer. It is that many times faster as the difference, as a
	// part of the streams that end, is a multiple of speedShare.
	minLevelSpeed = 0.2
	speedShare    = 0.15
	// roundingShare is the part of a rate by which sums of its parts may differ from it.
	roundingShare = 1e-9
	// openLevel is the level from which on all requests of a class are admitted.
	openLevel = 0.995
	// ratesTime is the time constant with which rates follow changes that may be due to chance: those of at most
	// chanceDeviations standard deviations of a count over a second. Greater changes count at once.
	ratesTime        = 4 * time.Second
	chanceDeviations = 4
)

// follow moves the levels towards the shares that the classes get. Where these depend on ranks alone, the level of the first
// tries of a rank is at most that of the more urgent ranks.
func (c *Controller) follow(dt time.Duration) {
	step := c.levelSpeed() * dt.Seconds()
	ordered := !c.settings.Accounts && len(c.settings.Parts) == 0
	first := 1.0
	for group := range c.ranks {
		for i := range group {
			c.followOne(&group[i], step, dt)
			if ordered {
				group[i].level = min(group[i].level, first)
			}
		}
		if len(group) > 0 {
			first = group[0].level
		}
	}
}

// levelSpeed returns how much the level of first tries moves in a second at most.
func (c *Controller) levelSpeed() float64 {
	if c.capacity.ending <= 0 {
		return 1 / maxStep.Seconds()
	}
	admitted, allotted := 0.0, 0.0
	for i := range c.entries {
		e := &c.entries[i]
		admitted += e.level * e.offered
		if c.limiting {
			allotted += e.allotted
		} else {
			allotted += e.limit
		}
	}
	return minLevelSpeed * max(math.Abs(admitted-allotted)/c.capacity.ending/speedShare, 1)
}

// followOne moves the levels of one entry towards what it was allotted, or towards its limit while nothing else limits it. The
// level of the first tries moves by at most step, but rises freely while room is left and for the most urgent rank.
func (c *Controller) followOne(e *entry, step float64, dt time.Duration) {
	first := share(e.limit, e.offered)
	returned := first
	if c.limiting {
		first, returned = share(e.allotted, e.offered), share(e.allottedReturned, e.returned)
	}
	rise := step
	if c.capacity.roomLeft || c.isMostUrgent(e) {
		rise = 1
	}
	e.level = min(max(approach(e.level, first, dt), e.level-step), e.level+rise)
	e.returnedLevel = approach(e.returnedLevel, returned, dt)
}

// share returns which part of the wanted requests is admitted.
func share(allotted, wanted float64) float64 {
	if wanted <= 0 || allotted >= wanted*(1-roundingShare) {
		return 1
	}
	return allotted / wanted
}

// approach returns the level after it has moved towards another one for dt.
func approach(level, to float64, dt time.Duration) float64 {
	constant := riseTime
	if to < level {
		constant = fallTime
	}
	return level + (to-level)*gain(dt, constant)
}

// followRates makes the rates of an entry follow those of the update before, dt before.
func (e *entry) followRates(old *entry, dt time.Duration) {
	e.offered, e.returned = followRate(old.offered, e.offered, dt), followRate(old.returned, e.returned, dt)
}

// followRate returns the rate, a second, that is acted on after a former one, dt before.
func followRate(former, rate float64, dt time.Duration) float64 {
	if beyondChance(former, rate) {
		return rate
	}
	return former + (rate-former)*gain(dt, ratesTime)
}

// fallen reports whether a rate fell by more than chance explains.
func fallen(former, rate float64) bool { return rate < former && beyondChance(former, rate) }

// beyondChance reports whether two rates, a second, differ by more than chance explains.
func beyondChance(former, rate float64) bool {
	return math.Abs(rate-former) > chanceDeviations*math.Sqrt(max(former, rate, 1))
}
