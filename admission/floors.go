package admission

import "time"

const (
	// floorShare is the share of first tries that each rank is to have served, as a part of the share that all ranks together get.
	// The aim is a quarter; the rest allows for deviations over short times.
	floorShare = 0.33
	// floorRise is what the most urgent rank keeps in addition, as a part of its floor. It falls evenly to 0 for the least urgent
	// rank, so that a more urgent rank gets the greater share where all have little more than their floors.
	floorRise = 0.25
	// minBegunShare bounds from below the part of the admitted first tries of a rank that is taken to begin, and begunTime is the
	// time constant with which that part is followed.
	minBegunShare = 0.4
	begunTime     = 4 * time.Second
	// maxInVainShare bounds the first tries that are taken to wait in vain, as a part of the streams that end. Some first tries are
	// refused without a wait, and more admitted ones would then only be more refused ones.
	maxInVainShare = 0.2
	// fitSlack is how much more than what is left the most urgent rank may want, as a part of it, until floors are raised at its
	// expense: it does not fit anyway then.
	fitSlack = 0.25
)

// allotFloors bounds the entries by the ceilings, gives each its guarantee and its floor, and returns what is left.
func (c *Controller) allotFloors(perSecond float64) float64 {
	floor, left := c.commonFloor(perSecond), perSecond
	ranks := c.rankCount()
	lessUrgent := ranks
	for group := range c.ranks {
		lessUrgent--
		floorOfRank := floor * (1 + floorRise*float64(lessUrgent)/float64(max(ranks-1, 1)))
		for i := range group {
			e := &group[i]
			e.allotted = min(max(e.guaranteed, floorOfRank*e.limit), e.limit)
			left -= e.allotted
		}
	}
	left = max(left, 0)
	return left - c.raiseFloors(left)
}

// commonFloor applies ceilings and guarantees and returns the part of its first tries that each rank gets at least.
func (c *Controller) commonFloor(perSecond float64) float64 {
	for i := range c.entries {
		e := &c.entries[i]
		e.limit, e.guaranteed, e.allottedReturned, e.byCeiling = e.offered, 0, 0, false
	}
	guaranteed := 0.0
	for i := range c.settings.Parts {
		guaranteed += c.applyPart(&c.settings.Parts[i])
	}
	offered := c.offered()
	if offered <= 0 {
		return 0
	}
	return min(floorShare*max(perSecond-guaranteed, 0)/offered, 1)
}

// rankCount returns the number of ranks among the entries.
func (c *Controller) rankCount() int {
	ranks := 0
	for range c.ranks {
		ranks++
	}
	return ranks
}

// raiseFloors raises what the ranks were allotted by what waits in vain, so that floors hold for the first tries that begin, and returns
// how much of left that takes. The first tries of the most urgent rank come before it if they fit.
func (c *Controller) raiseFloors(left float64) float64 {
	wanted := 0.0
	for group := range c.ranks {
		begun := begunShare(group)
		for i := range group {
			e := &group[i]
			e.raise = min(e.allotted/begun, e.limit) - e.allotted
			wanted += e.raise
		}
	}
	if wanted <= 0 {
		return 0
	}
	part := min(c.raiseBudget(left)/wanted, 1)
	for i := range c.entries {
		c.entries[i].allotted += part * c.entries[i].raise
	}
	return part * wanted
}

// raiseBudget returns how much of left floors may be raised by: what the most urgent rank does not want, or more and more of it as
// that rank wants more than there is.
func (c *Controller) raiseBudget(left float64) float64 {
	if left <= 0 {
		return 0
	}
	wanted := 0.0
	for i := range c.entries {
		if e := &c.entries[i]; c.isMostUrgent(e) {
			wanted += e.limit - e.allotted
		}
	}
	return max(left-wanted, min((wanted/left-1)/fitSlack, 1)*left, 0)
}

// followBegun follows how many of the admitted first tries begin; old is the entry of the update before.
func (e *entry) followBegun(old *entry, dt time.Duration) {
	part := gain(dt, begunTime)
	e.admittedLately = old.admittedLately + (e.offered*old.level-old.admittedLately)*part
	e.begunLately = old.begunLately + (max(e.offered-e.refused, 0)-old.begunLately)*part
}

// inVain returns how many of the admitted first tries a second do not begin.
func (c *Controller) inVain() float64 {
	if !c.limiting {
		return 0
	}
	admitted, begun := admittedAndBegun(c.entries)
	return min(max(admitted-begun, 0), maxInVainShare*c.capacity.ending)
}

// begunShare returns the part of the admitted first tries of a rank that begins.
func begunShare(group []entry) float64 {
	admitted, begun := admittedAndBegun(group)
	if admitted <= 0 {
		return 1
	}
	return min(max(begun/admitted, minBegunShare), 1)
}

// admittedAndBegun returns how many first tries of entries a second the levels admitted lately, and how many were not refused.
func admittedAndBegun(entries []entry) (admitted, begun float64) {
	for i := range entries {
		admitted += entries[i].admittedLately
		begun += entries[i].begunLately
	}
	return admitted, begun
}
