package admission

const (
	// returnedShare is the part of a rank's room for its returned callers while its first tries, or those of less urgent
	// ranks, need the room.
	returnedShare = 0.1
	// levelHalvings is the number of halvings of an interval that find the level of fair parts.
	levelHalvings = 48
)

// allot divides the capacity among the entries, which are in the order of their ranks: first the guarantees and floors, then the
// first tries of each rank with a part of its returned callers, then the other returned callers. These also get the room that there
// is at the moment beyond what first tries can count on, or lose what is missing.
func (c *Controller) allot() {
	left := c.allotFloors(c.capacity.steady)
	for group := range c.ranks {
		left -= c.allotFirst(group, left)
	}
	extra := c.capacity.extra
	if c.offered() < c.capacity.steady {
		extra = min(extra, c.capacity.calm-c.capacity.steady)
	}
	left += extra
	if left < 0 {
		c.holdBack(-left)
		return
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

// holdBack takes a rate, a second, from what the returned callers get.
func (c *Controller) holdBack(rate float64) {
	given := 0.0
	for i := range c.entries {
		given += c.entries[i].allottedReturned
	}
	if given <= 0 {
		return
	}
	kept := max(given-rate, 0) / given
	for i := range c.entries {
		c.entries[i].allottedReturned *= kept
	}
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
