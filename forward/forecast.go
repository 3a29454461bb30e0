package forward

import (
	"math"
	"time"
)

// dispersion is how evenly rooms come: the rate itself is not known well, since other instances make room and take it, and three
// fits the waits that were seen (docs/DECISIONS.md); rooms that come independently of each other would have an infinite one.
const dispersion = 3.0

// forecast predicts when room comes from the streams of a service that are under way.
type forecast struct {
	lifetimes *sample
	ages      []time.Duration
	// placesPerEnd is how many rooms come for each own stream that ends.
	placesPerEnd float64
}

// expectedPlaces returns how many places are expected within a time: first from the streams under way, by their ages, and beyond a mean life
// from those that follow them.
func (c *forecast) expectedPlaces(within time.Duration) float64 {
	mean := c.lifetimes.mean()
	near, far := min(within, mean), max(within-mean, 0)
	ends := float64(len(c.ages)) * float64(far) / float64(mean)
	for _, age := range c.ages {
		ends += c.lifetimes.endLikelihood(age, near)
	}
	return ends * c.placesPerEnd
}

// likelihood returns how likely it is that so many rooms come within a time.
func (c *forecast) likelihood(places float64, within time.Duration) float64 {
	if within <= 0 {
		return 0
	}
	return atLeast(int(math.Ceil(places)), c.expectedPlaces(within))
}

// timeFor returns the least time in which so many rooms come with a likelihood, at most a limit.
func (c *forecast) timeFor(places, likelihood float64, limit time.Duration) time.Duration {
	return minTime(limit, func(within time.Duration) bool { return c.likelihood(places, within) >= likelihood })
}

// atLeast returns the likelihood of at least n events where so many are expected, at a rate that is itself spread by its evenness
// (a negative binomial distribution).
func atLeast(n int, expected float64) float64 {
	part := expected / (dispersion + expected)
	term := math.Pow(1-part, dispersion)
	fewer := 0.0
	for k := range n {
		fewer += term
		term *= part * (float64(k) + dispersion) / float64(k+1)
	}
	return max(1-fewer, 0)
}
