package forward

import (
	"math"
	"time"

	"junctioncross/demand"
)

const (
	// domainDispersion is the size parameter of the negative binomial distribution of the places that become free in a domain. It
	// is greater than dispersion, since their rate is known better than from the few streams of one instance.
	domainDispersion = 30.0
	// maxCountedPlaces is the number of places up to which their distribution is computed; for more, the mean is taken for the
	// median.
	maxCountedPlaces = 64
)

// Sources of a Retry-After time.
const (
	forecastOwn    = "own"
	forecastDomain = "domain"
)

// domainForecast predicts when there is room for a caller whom one of the instances of a domain refuses, from their totals.
type domainForecast struct {
	totals demand.Totals
}

// usable reports whether the totals say when streams end.
func (d *domainForecast) usable() bool { return d.totals.UnderWay > 0 && d.totals.Lifetime > 0 }

// endsBy returns how many streams are expected to end within a time after the reports were made: by the reports up to the last
// of the horizons, with a constant rate between them, and after that at the mean rate of the streams under way.
func (d *domainForecast) endsBy(after time.Duration) float64 {
	from, ends := time.Duration(0), 0.0
	for i, to := range demand.Horizons {
		if after <= to {
			return ends + (d.totals.Ends[i]-ends)*float64(after-from)/float64(to-from)
		}
		from, ends = to, max(d.totals.Ends[i], ends)
	}
	return ends + float64(d.totals.UnderWay)*float64(after-from)/float64(d.totals.Lifetime)
}

// ahead returns the callers who go before one that is refused now: those who waited or were told to return when the reports were
// made, and those who were told since, without those for whom room has come since.
func (d *domainForecast) ahead() float64 {
	age := d.totals.Age
	callers := float64(d.totals.Waiting+d.totals.ToldToReturn) + d.totals.ToldRate*age.Seconds()
	return max(callers-returningRoomShare*d.endsBy(age), 0)
}

// timeToRoom returns when there is as likely as not room for a caller that is refused now, at most limit: when the part of the
// room that is meant for returning callers is enough for those ahead of it and itself.
func (d *domainForecast) timeToRoom(limit time.Duration) time.Duration {
	places, past := d.ahead()+1, d.endsBy(d.totals.Age)
	return minTime(limit, func(within time.Duration) bool {
		expected := returningRoomShare * (d.endsBy(d.totals.Age+within) - past)
		return asLikelyAsNot(places, expected)
	})
}

// asLikelyAsNot reports whether at least so many places become free with a likelihood of one half or more when expected ones are
// expected.
func asLikelyAsNot(places, expected float64) bool {
	if places > maxCountedPlaces {
		return expected >= places
	}
	return atLeastOf(int(math.Ceil(places)), expected, domainDispersion) >= median
}

// domainForecast returns the forecast from the totals of the own domain; false means that they are unknown or too old, or hold no
// streams under way.
func (h *Handler) domainForecast(service string, now time.Time) (domainForecast, bool) {
	totals, known := h.domainTotals(service, now)
	d := domainForecast{totals: totals}
	return d, known && d.usable()
}
