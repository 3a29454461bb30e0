package admission_test

import (
	"time"

	"junctioncross/demand"
)

// report computes the totals of each part, and gives each instance those of a moment up to a second ago.
func (l *load) report(n int) {
	if l.controllers[0] == nil {
		return
	}
	for p := range l.parts {
		l.slots[p] = append(l.slots[p], l.rates[p])
		l.rates[p] = map[demand.Class]*demand.Rates{}
		l.totals[p] = append(l.totals[p], l.total(p, n))
	}
	for i, c := range l.controllers {
		totals := l.totals[l.part(i)]
		if l.random.Float64() >= l.lost {
			c.Update(&totals[max(len(totals)-1-l.random.IntN(windowSlots+1), 0)], l.clock())
		}
	}
	l.levels = append(l.levels, l.controllers[0].AppendLevels(nil))
}

func (l *load) total(p, n int) demand.Totals {
	t := demand.Totals{Instances: len(l.controllers) / l.parts, Age: slot, UnderWay: l.underWay[p], Room: l.room, Lifetime: meanLife}
	for _, c := range l.waiting {
		if l.part(c.instance) == p {
			t.Waiting++
		}
	}
	if t.UnderWay > 0 {
		// By Little's law, the time from the arrival on.
		t.Lifetime = time.Duration(float64(meanLife) * float64(t.UnderWay+t.Waiting) / float64(t.UnderWay))
	}
	l.expectEnds(&t, p, n)
	t.Classes = l.recentRates(p)
	return t
}

// expectEnds counts the streams of a part that end within the horizons.
func (l *load) expectEnds(t *demand.Totals, p, n int) {
	for at, ends := range l.ends {
		count := 0.0
		for _, part := range ends {
			if part == p {
				count++
			}
		}
		for i, h := range demand.Horizons {
			if at <= n+int(h/tick) {
				t.Ends[i] += count
			}
		}
	}
}

// recentRates returns the mean rates of the latest slots of a part.
func (l *load) recentRates(p int) []demand.Rates {
	sums := map[demand.Class]demand.Rates{}
	window := l.slots[p][max(len(l.slots[p])-windowSlots, 0):]
	seconds := float64(len(window)) * slot.Seconds()
	for _, s := range window {
		for class, r := range s {
			sum := sums[class]
			sum.Class = class
			sum.Offered, sum.Refused, sum.Returned = sum.Offered+r.Offered/seconds, sum.Refused+r.Refused/seconds, sum.Returned+r.Returned/seconds
			sums[class] = sum
		}
	}
	var out []demand.Rates
	for _, class := range sortedClasses(sums) {
		out = append(out, sums[class])
	}
	return out
}
