package admission

import (
	"math"
	"time"
)

const (
	// fallTime and riseTime are how fast the level of a class follows a lower and a higher share.
	fallTime = 250 * time.Millisecond
	riseTime = 500 * time.Millisecond
	// openLevel is the level from which on all requests of a class are admitted.
	openLevel = 0.995
	// ratesTime is how fast rates follow changes that chance explains, and chanceDeviations how many standard deviations of a
	// count over a second these have at most; greater changes count at once.
	ratesTime        = 4 * time.Second
	chanceDeviations = 4
)

// follow moves the levels towards the shares that the classes get. The first tries of no rank get a greater one than those of a
// more urgent rank, unless accounts or parts of the room are told apart, on which the shares then depend.
func (c *Controller) follow(dt time.Duration) {
	ordered := !c.settings.Accounts && len(c.settings.Parts) == 0
	first := 1.0
	for group := range c.ranks {
		for i := range group {
			c.followOne(&group[i], dt)
			if ordered {
				group[i].level = min(group[i].level, first)
			}
		}
		if len(group) > 0 {
			first = group[0].level
		}
	}
}

func (c *Controller) followOne(e *entry, dt time.Duration) {
	first := share(e.limit, e.offered)
	returned := first
	if c.limiting {
		first, returned = share(e.alloted, e.offered), share(e.allotedReturned, e.returned)
	}
	e.level = approach(e.level, first, dt)
	e.returnedLevel = approach(e.returnedLevel, returned, dt)
}

func share(alloted, wanted float64) float64 {
	if wanted <= 0 || alloted >= wanted {
		return 1
	}
	return alloted / wanted
}

func approach(level, to float64, dt time.Duration) float64 {
	constant := riseTime
	if to < level {
		constant = fallTime
	}
	return level + (to-level)*gain(dt, constant)
}

// followRate returns the rate, a second, that is acted on after a former one, dt before.
func followRate(former, rate float64, dt time.Duration) float64 {
	if math.Abs(rate-former) > chanceDeviations*math.Sqrt(max(former, rate, 1)) {
		return rate
	}
	return former + (rate-former)*gain(dt, ratesTime)
}
