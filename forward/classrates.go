package forward

import (
	"slices"
	"time"

	"junctioncross/demand"
	"junctioncross/retry"
)

const (
	// rateSlots intervals of rateSlot make up the window over which the rates of load reports are counted: short, since
	// admission follows them through bursts of a few seconds.
	rateSlots = 5
	rateSlot  = 200 * time.Millisecond
	// toldSlots intervals of toldSlot make up the window for the callers who were told to return: it is short, since between two
	// reports their number is worked out from this rate.
	toldSlots = 4
	toldSlot  = 250 * time.Millisecond
)

// rateCounter counts events in a sliding window.
type rateCounter struct {
	counter *retry.WindowCounter
	window  time.Duration
}

func newRateCounter(slots int, slot time.Duration) rateCounter {
	return rateCounter{counter: retry.NewWindowCounter(slots, slot), window: time.Duration(slots) * slot}
}

func (c rateCounter) add(now time.Time) { c.counter.Add(now) }

func (c rateCounter) perSecond(now time.Time) float64 {
	return float64(c.counter.Sum(now)) / c.window.Seconds()
}

// classCounters counts the requests of one class.
type classCounters struct {
	class                      demand.Class
	offered, refused, returned rateCounter
}

// classRates counts the recent requests by class. The queue's lock guards it.
type classRates struct {
	// counters are in the order of their classes; they are at most demand.MaxReportClasses.
	counters []classCounters
}

// of returns the counters of a class. Without room for a further class they are those of a neighbour in the order of classes.
func (c *classRates) of(class demand.Class, now time.Time) *classCounters {
	compare := func(have classCounters, want demand.Class) int { return have.class.Compare(want) }
	at, found := slices.BinarySearchFunc(c.counters, class, compare)
	if found {
		return &c.counters[at]
	}
	if len(c.counters) >= demand.MaxReportClasses {
		c.counters = slices.DeleteFunc(c.counters, func(one classCounters) bool { return one.idle(now) })
		at, _ = slices.BinarySearchFunc(c.counters, class, compare)
	}
	if len(c.counters) >= demand.MaxReportClasses {
		return &c.counters[min(at, len(c.counters)-1)]
	}
	c.counters = slices.Insert(c.counters, at, classCounters{
		class: class, offered: newRateCounter(rateSlots, rateSlot), refused: newRateCounter(rateSlots, rateSlot),
		returned: newRateCounter(rateSlots, rateSlot),
	})
	return &c.counters[at]
}

// idle reports whether there were no requests of the class lately.
func (c *classCounters) idle(now time.Time) bool {
	return c.offered.counter.Sum(now)+c.refused.counter.Sum(now)+c.returned.counter.Sum(now) == 0
}

// rates returns the rates of the classes that had requests lately.
func (c *classRates) rates(now time.Time) []demand.Rates {
	var out []demand.Rates
	for i := range c.counters {
		one := &c.counters[i]
		if one.idle(now) {
			continue
		}
		out = append(out, demand.Rates{
			Class: one.class, Offered: one.offered.perSecond(now), Refused: one.refused.perSecond(now),
			Returned: one.returned.perSecond(now),
		})
	}
	return out
}

// classOf returns the class of a request; accounts are told apart only where admission divides the room among them.
func (h *Handler) classOf(r *request) demand.Class {
	class := demand.Class{Rank: rankOf(r.urgency)}
	if h.settings.Load().Admission.TellsAccounts() {
		class.Account = r.account
	}
	return class
}
