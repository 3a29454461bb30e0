package admission_test

import (
	"time"

	"junctioncross/demand"
)

// counts are what became of the callers of a class.
type counts struct{ callers, served, inTime float64 }

func (c counts) share() float64 { return c.served / c.callers }

// count counts the callers that were born in a time, by a key of their class.
func count[K comparable](l *load, from, to time.Duration, key func(demand.Class) K) map[K]counts {
	out := map[K]counts{}
	for _, c := range l.callers {
		if c.born < from || c.born >= to {
			continue
		}
		n := out[key(c.class)]
		n.callers++
		if c.served {
			n.served++
		}
		if c.inTime {
			n.inTime++
		}
		out[key(c.class)] = n
	}
	return out
}

// work returns how many streams began in a time.
func (l *load) work(from, to time.Duration) int {
	sum := 0
	for _, at := range l.begun {
		if at >= from && at < to {
			sum++
		}
	}
	return sum
}
