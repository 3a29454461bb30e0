package admission

import (
	"time"

	"junctioncross/demand"
)

// Decide decides on one request. Each instance admits the share of a class evenly among its requests, beginning at a random
// point, so that the share also holds in sum where each instance has few requests. Returned callers make up for what chance changed.
func (c *Controller) Decide(class demand.Class, try Try, now time.Time) Decision {
	if try == Resumed || c.updated.IsZero() || now.Sub(c.updated) > maxAge {
		return Admitted{}
	}
	rank := class.Rank
	class = c.settings.class(class)
	e := c.entryOf(class)
	if e == nil {
		// Instances that do not tell accounts apart report the rank without an account.
		e = c.entryOf(demand.Class{Rank: class.Rank})
	}
	if e == nil {
		return c.decideNew(class, rank, try)
	}
	c.pace.arrived(now)
	level, credit := e.level, &e.credit
	if try == Returned {
		level, credit = e.returnedLevel, &e.returnedCredit
		if c.limiting {
			level = c.pace.shift(level)
		}
	}
	if admits(level, credit) {
		c.pace.admitted()
		return Admitted{}
	}
	return Refused{Reason: c.reasonOf(e), Rank: rank, Level: level}
}

// admits reports whether one more request is admitted at a level; credit is what is left of the level from the latest ones.
func admits(level float64, credit *float64) bool {
	if level >= openLevel {
		return true
	}
	*credit += level
	if *credit < 1 {
		return false
	}
	*credit--
	return true
}

// decideNew decides on a request of a class that is not in the totals yet.
func (c *Controller) decideNew(class demand.Class, rank demand.Rank, try Try) Decision {
	level, returned := c.levelOfNew(class)
	if try == Returned {
		level = returned
	}
	if level >= openLevel || c.random() < level {
		return Admitted{}
	}
	return Refused{Reason: ReasonRank, Rank: rank, Level: level}
}

// reasonOf returns the reason of a refusal by the levels of an entry.
func (c *Controller) reasonOf(e *entry) Reason {
	switch {
	case e.byCeiling && (!c.limiting || e.allotted >= e.limit):
		return ReasonCeiling
	case c.settings.Accounts:
		return ReasonAccount
	default:
		return ReasonRank
	}
}

// Level is the share of the requests of a rank that is admitted.
type Level struct {
	Rank demand.Rank
	// First is the share of the first tries, and Returned that of the returned callers.
	First, Returned float64
}

// AppendLevels appends the levels of all ranks, the most urgent first, to levels.
func (c *Controller) AppendLevels(levels []Level) []Level {
	for group := range c.ranks {
		if len(group) == 0 {
			continue
		}
		offered, admitted, returned, admittedReturned := 0.0, 0.0, 0.0, 0.0
		for i := range group {
			e := &group[i]
			offered, admitted = offered+e.offered, admitted+e.offered*e.level
			returned, admittedReturned = returned+e.returned, admittedReturned+e.returned*e.returnedLevel
		}
		level := Level{Rank: group[0].class.Rank, First: group[0].level, Returned: group[0].returnedLevel}
		if offered > 0 {
			level.First = share(admitted, offered)
		}
		if returned > 0 {
			level.Returned = share(admittedReturned, returned)
		}
		levels = append(levels, level)
	}
	return levels
}
