package admission

import (
	"math"
	"time"

	"junctioncross/demand"
)

const (
	// maxCount bounds the streams, and the requests a second, that totals can hold: the sum of all that reports may name.
	maxCount = 1e10
	// minRoom is the least room for streams, and minLifetime and maxLifetime bound their mean lifetime. Rates are multiples of the quotient
	// of these, and follow one another: one that is infinite would stay so. maxAge bounds the age of totals that are used.
	minRoom     = 1
	minLifetime = time.Millisecond
	maxLifetime = time.Hour
	maxAge      = 3 * time.Second
	// maxClasses bounds the classes of a service.
	maxClasses = 4096
)

// valid reports whether the totals can be those of a service; others are not used.
func valid(t *demand.Totals) bool {
	if t.Instances < 1 || t.UnderWay < 0 || t.Waiting < 0 || t.UnderWay > maxCount || t.Waiting > maxCount {
		return false
	}
	if !plausible(t.Room) || t.Room < minRoom || t.Lifetime < minLifetime || t.Lifetime > maxLifetime || t.Age < 0 || t.Age > maxAge {
		return false
	}
	for _, n := range t.Ends {
		if !plausible(n) {
			return false
		}
	}
	return len(t.Classes) <= maxClasses && validRates(t.Classes)
}

func validRates(classes []demand.Rates) bool {
	for i := range classes {
		c := &classes[i]
		if !plausible(c.Offered) || !plausible(c.Refused) || !plausible(c.Returned) || c.Class.Rank.Account < 0 || c.Class.Rank.Route < 0 {
			return false
		}
	}
	return true
}

// plausible reports whether n can be a number of streams, or of requests a second.
func plausible(n float64) bool { return !math.IsNaN(n) && n >= 0 && n <= maxCount }
