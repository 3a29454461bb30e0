package forward

import (
	"math"
	"time"
)

// dispersion is the size parameter of the negative binomial distribution of the places that become free. Their rate is not
// known well, since other instances free and take places too; three fits the waits that were seen (docs/DECISIONS.md). If
// places became free independently of each other (a Poisson process), the parameter would be infinite.
const dispersion = 3.0

// forecast predicts when places become free, from the streams of a service that are under way.
type forecast struct {
	lifetimes *sample
	ages      []time.Duration
	// placesPerEnd is how many places become free for each own stream that ends.
	placesPerEnd float64
}

// expectedPlaces returns how many places are expected to become free within a time.
func (c *forecast) expectedPlaces(within time.Duration) float64 {
	return c.expectedEnds(within) * c.placesPerEnd
}

// expectedEnds returns how many own streams are expected to end within a time: up to a mean lifetime from the streams under way,
// by their ages, and after that at the mean rate of the streams that follow them.
func (c *forecast) expectedEnds(within time.Duration) float64 {
	mean := c.lifetimes.mean()
	near, far := min(within, mean), max(within-mean, 0)
	ends := float64(len(c.ages)) * float64(far) / float64(mean)
	for _, age := range c.ages {
		ends += c.lifetimes.endLikelihood(age, near)
	}
	return ends
}

// likelihood returns how likely at least so many places become free within a time.
func (c *forecast) likelihood(places float64, within time.Duration) float64 {
	if within <= 0 {
		return 0
	}
	return atLeast(int(math.Ceil(places)), c.expectedPlaces(within))
}

// timeFor returns the shortest time in which so many places become free with the given likelihood, at most limit.
func (c *forecast) timeFor(places, likelihood float64, limit time.Duration) time.Duration {
	return minTime(limit, func(within time.Duration) bool { return c.likelihood(places, within) >= likelihood })
}

// atLeast returns the likelihood of at least n events when expected ones are expected from the own streams.
func atLeast(n int, expected float64) float64 { return atLeastOf(n, expected, dispersion) }

// atLeastOf returns the likelihood of at least n events when expected ones are expected and their rate is itself uncertain, by a
// negative binomial distribution with the given size parameter.
func atLeastOf(n int, expected, size float64) float64 {
	part := expected / (size + expected)
	term := math.Pow(1-part, size)
	fewer := 0.0
	for k := range n {
		fewer += term
		term *= part * (float64(k) + size) / float64(k+1)
	}
	return max(1-fewer, 0)
}
