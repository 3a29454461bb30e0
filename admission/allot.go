package admission

const (
	// floorShare is the share of first tries that each rank keeps, as a part of the share that all ranks together get. The aim
	// is a quarter; the rest allows for deviations over short times.
	floorShare = 0.41
	// floorRise is what the most urgent rank keeps in addition, as a part of its floor. It falls evenly to 0 for the least urgent
	// rank, so that a more urgent rank gets the greater share where all have little more than their floors.
	floorRise = 0.25
	// returnedShare is the part of a rank's room for its returned callers while its first tries, or those of less urgent
	// ranks, need the room.
	returnedShare = 0.1
	// levelHalvings is the number of halvings of an interval that find the level of fair parts.
	levelHalvings = 48
)

// allot divides the capacity, in requests a second, among the entries, which are in the order of their ranks: first the
// guarantees and floors, then the first tries of each rank with a part of its returned callers, then the other returned callers.
func (c *Controller) allot(perSecond float64) {
	left := c.allotFloors(perSecond)
	for group := range c.ranks {
		left -= c.allotFirst(group, left)
	}
	for group := range c.ranks {
		want := 0.0
		for i := range group {
			want += group[i].returned - group[i].allottedReturned
		}
		give := min(want, left)
		c.spread(group, give, want)
		left -= give
	}
}

// allotFloors bounds the entries by the ceilings, gives each its guarantee and its floor, and returns what is left.
func (c *Controller) allotFloors(perSecond float64) float64 {
	offered, guaranteed := 0.0, 0.0
	for i := range c.entries {
		e := &c.entries[i]
		e.limit, e.guaranteed, e.allottedReturned, e.byCeiling = e.offered, 0, 0, false
		offered += e.offered
	}
	for i := range c.settings.Parts {
		guaranteed += c.applyPart(&c.settings.Parts[i])
	}
	floor := 0.0
	if offered > 0 {
		floor = min(floorShare*max(perSecond-guaranteed, 0)/offered, 1)
	}
	left, ranks, lessUrgent := perSecond, 0, 0
	for range c.ranks {
		ranks++
	}
	lessUrgent = ranks
	for group := range c.ranks {
		lessUrgent--
		floorOfRank := floor * (1 + floorRise*float64(lessUrgent)/float64(max(ranks-1, 1)))
		for i := range group {
			e := &group[i]
			e.allotted = min(max(e.guaranteed, floorOfRank*e.limit), e.limit)
			left -= e.allotted
		}
	}
	return max(left, 0)
}

// applyPart applies an operator's request and returns what it guarantees, in requests a second.
func (c *Controller) applyPart(p *Part) float64 {
	offered, whole := 0.0, c.capacity.ending
	for i := range c.entries {
		if p.selects(c.entries[i].class) {
			offered += c.entries[i].limit
		}
	}
	if offered <= 0 {
		return 0
	}
	ceiling, guarantee := min(p.Ceiling*whole/offered, 1), min(p.Guarantee*whole/offered, 1)
	for i := range c.entries {
		e := &c.entries[i]
		if !p.selects(e.class) {
			continue
		}
		e.byCeiling = e.byCeiling || ceiling < 1
		e.limit *= ceiling
		e.guaranteed = max(e.guaranteed, min(guarantee*e.offered, e.limit))
	}
	return guarantee * offered
}

// allotFirst gives the first tries of a rank, and a part of its returned callers, what they need of left, and returns how much
// that is.
func (c *Controller) allotFirst(group []entry, left float64) float64 {
	want, limit, returned := 0.0, 0.0, 0.0
	for i := range group {
		want += group[i].limit - group[i].allotted
		limit += group[i].limit
		returned += group[i].returned
	}
	// The first tries of the rank can get what is left and their floors, which are limit-want.
	forReturned := min(returned, returnedShare*limit, returnedShare*(left+limit-want))
	forReturned = min(forReturned, left)
	c.spread(group, forReturned, returned)
	give := min(want, left-forReturned)
	switch {
	case want <= 0:
	case c.settings.Accounts:
		fairParts(group, limit-want+give)
	default:
		for i := range group {
			group[i].allotted += (group[i].limit - group[i].allotted) * give / want
		}
	}
	return give + forReturned
}

// spread gives the returned callers of a rank so many requests a second, of want that they still want. Where accounts are told
// apart, an account gets in proportion to its weight, and no more than it wants.
func (c *Controller) spread(group []entry, give, want float64) {
	if want <= 0 || give <= 0 {
		return
	}
	if !c.settings.Accounts {
		for i := range group {
			group[i].allottedReturned += (group[i].returned - group[i].allottedReturned) * give / want
		}
		return
	}
	total := give
	for i := range group {
		total += group[i].allottedReturned
	}
	level := fairLevel(group, total, returnedPart)
	for i := range group {
		group[i].allottedReturned = returnedPart(&group[i], level)
	}
}

// fairParts gives the first tries of the accounts of a rank total requests a second, each by its weight and no more than it needs.
func fairParts(group []entry, total float64) {
	level := fairLevel(group, total, firstPart)
	for i := range group {
		group[i].allotted = firstPart(&group[i], level)
	}
}

// firstPart returns what the first tries of an entry get at a level of fair parts.
func firstPart(e *entry, level float64) float64 {
	return min(e.limit, max(e.guaranteed, level*e.weight))
}

// returnedPart returns what the returned callers of an entry get at a level of fair parts.
func returnedPart(e *entry, level float64) float64 { return min(e.returned, level*e.weight) }

// fairLevel returns the level, in requests a second for each unit of weight, at which the parts of a group add up to total
// (max-min fairness).
func fairLevel(group []entry, total float64, part func(*entry, float64) float64) float64 {
	low, high := 0.0, 0.0
	for i := range group {
		high = max(high, max(group[i].offered, group[i].returned)/group[i].weight)
	}
	for range levelHalvings {
		middle, sum := (low+high)/2, 0.0
		for i := range group {
			sum += part(&group[i], middle)
		}
		if sum > total {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}
