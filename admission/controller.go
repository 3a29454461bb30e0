package admission

import (
	"slices"
	"time"

	"junctioncross/demand"
)

// maxStep bounds the time between two updates that the levels and estimates follow.
const maxStep = time.Second

// entry is what a Controller keeps for a class.
type entry struct {
	class  demand.Class
	weight float64
	// offered and returned are the requests a second of first tries and of returned callers, and refused the refused first
	// tries.
	offered, returned, refused float64
	// admittedLately and begunLately are the first tries a second that the levels admitted, and those that were not refused, over
	// the last seconds: some of the admitted ones wait in vain.
	admittedLately, begunLately float64
	// limit bounds what the first tries get, and guaranteed is what they get before others, in requests a second. byCeiling is
	// true if a ceiling makes limit less than offered.
	limit, guaranteed float64
	byCeiling         bool
	// allotted and allottedReturned are what first tries and returned callers get, in requests a second, and raise is what first
	// tries need beyond their floor because some of them wait in vain.
	allotted, allottedReturned, raise float64
	// level and returnedLevel are the shares that are admitted now, and credit and returnedCredit what is left of them from
	// the latest requests.
	level, returnedLevel   float64
	credit, returnedCredit float64
}

// Controller decides on the requests for one service on one instance. It is not safe for concurrent use.
type Controller struct {
	settings Settings
	// random returns a random number in [0, 1).
	random func() float64
	// entries are sorted by rank, then by account; former holds those of the update before.
	entries, former []entry
	capacity        capacity
	updated         time.Time
	// limiting is true from when the room is short until it is free and suffices for all requests.
	limiting bool
	// pace makes up for the chance in this instance's own requests.
	pace pace
}

// New returns a Controller that admits everything until it has totals; random returns random numbers in [0, 1), which keep the
// decisions of instances independent of each other.
func New(settings Settings, random func() float64) *Controller {
	return &Controller{settings: settings, random: random}
}

// Clear forgets all totals, so that everything is admitted; it is called when there are none that can be used.
func (c *Controller) Clear() {
	c.entries, c.capacity, c.pace = c.entries[:0], capacity{}, pace{}
	c.limiting, c.updated = false, time.Time{}
}

// Update computes the levels from new totals. Totals that cannot be true are not used, and it returns false for them.
func (c *Controller) Update(t *demand.Totals, now time.Time) bool {
	if !c.settings.Active() || !valid(t) || now.Before(c.updated) {
		return false
	}
	dt := maxStep
	if !c.updated.IsZero() {
		dt = min(now.Sub(c.updated), maxStep)
	}
	c.load(t.Classes, dt)
	c.updated = now
	room := c.capacity.update(t, c.unexplainedRefusals(), dt)
	c.capacity.estimate(t, c.offered(), c.inVain(), dt)
	c.allot()
	c.limiting = c.settings.limits() && (room == roomShort || c.limiting && (room == roomTight || c.wanted() > c.capacity.steady))
	c.follow(dt)
	c.pace.update(c.entries, t.Instances, now)
	return true
}

// load replaces the entries by those of new rates, dt after the former ones; the levels of classes that were there before are
// kept.
func (c *Controller) load(classes []demand.Rates, dt time.Duration) {
	next := c.former[:0]
	for i := range classes {
		r := &classes[i]
		class := c.settings.class(r.Class)
		next = append(next, entry{
			class: class, weight: c.settings.weight(class.Account), offered: r.Offered, returned: r.Returned, refused: r.Refused,
		})
	}
	slices.SortFunc(next, func(a, b entry) int { return a.class.Compare(b.class) })
	next = merge(next)
	c.keepLevels(next, dt)
	c.entries, c.former = next, c.entries
}

// merge adds up the rates of sorted entries of the same class.
func merge(entries []entry) []entry {
	kept := 0
	for i := range entries {
		if kept > 0 && entries[kept-1].class == entries[i].class {
			into := &entries[kept-1]
			into.offered += entries[i].offered
			into.returned += entries[i].returned
			into.refused += entries[i].refused
			continue
		}
		entries[kept] = entries[i]
		kept++
	}
	return entries[:kept]
}

// keepLevels gives new entries the levels that their classes have now, and makes their rates follow the former ones.
func (c *Controller) keepLevels(next []entry, dt time.Duration) {
	// A fall that no class shows by itself counts for all of them.
	allFell := fallen(offered(c.entries), offered(next))
	for i := range next {
		e := &next[i]
		if old := c.entryOf(e.class); old != nil {
			e.level, e.returnedLevel, e.credit, e.returnedCredit = old.level, old.returnedLevel, old.credit, old.returnedCredit
			e.followBegun(old, dt)
			if !allFell {
				e.followRates(old, dt)
			}
			continue
		}
		e.admittedLately, e.begunLately = e.offered, e.offered
		e.level, e.returnedLevel = c.levelOfNew(e.class)
		e.credit, e.returnedCredit = c.random(), c.random()
	}
}

// entryOf returns the entry of a class, or nil.
func (c *Controller) entryOf(class demand.Class) *entry {
	i, ok := slices.BinarySearchFunc(c.entries, class, func(e entry, k demand.Class) int { return e.class.Compare(k) })
	if !ok {
		return nil
	}
	return &c.entries[i]
}

// levelOfNew returns the levels of a class without an entry: those of the class before it in the order of ranks, which is as
// urgent or more so. They are 1 if there is none, if ranks do not count, or for a further account of a rank with fair parts.
func (c *Controller) levelOfNew(class demand.Class) (first, returned float64) {
	i, _ := slices.BinarySearchFunc(c.entries, class, func(e entry, k demand.Class) int { return e.class.Compare(k) })
	if i == 0 || !c.settings.Ranks || c.settings.Accounts && c.entries[i-1].class.Rank == class.Rank {
		return 1, 1
	}
	return c.entries[i-1].level, c.entries[i-1].returnedLevel
}

// unexplainedRefusals returns the part of the first tries that was refused although the levels admit them.
func (c *Controller) unexplainedRefusals() float64 {
	offered, refused := 0.0, 0.0
	for i := range c.entries {
		e := &c.entries[i]
		if e.level < openLevel {
			continue
		}
		offered += e.offered
		refused += min(e.refused, e.offered)
	}
	if offered <= 0 {
		return 0
	}
	return refused / offered
}

// offered returns how many first tries a second want room.
func (c *Controller) offered() float64 { return offered(c.entries) }

// offered returns how many first tries a second entries have.
func offered(entries []entry) float64 {
	sum := 0.0
	for i := range entries {
		sum += entries[i].offered
	}
	return sum
}

// wanted returns how many requests a second want room.
func (c *Controller) wanted() float64 {
	sum := 0.0
	for i := range c.entries {
		sum += c.entries[i].offered + c.entries[i].returned
	}
	return sum
}

// isMostUrgent reports whether an entry is of the most urgent rank; all are if ranks do not count.
func (c *Controller) isMostUrgent(e *entry) bool {
	return !c.settings.Ranks || e.class.Rank == c.entries[0].class.Rank
}

// ranks yields the entries of each rank, the most urgent first, or all at once if ranks do not count.
func (c *Controller) ranks(yield func([]entry) bool) {
	if !c.settings.Ranks {
		yield(c.entries)
		return
	}
	for from := 0; from < len(c.entries); {
		to := from + 1
		for to < len(c.entries) && c.entries[to].class.Rank == c.entries[from].class.Rank {
			to++
		}
		if !yield(c.entries[from:to]) {
			return
		}
		from = to
	}
}
