package forward

import (
	"math"
	"time"
)

// evenness is how evenly rooms come: the rate itself is not known well, since other instances make room and take it, and three
// fits the waits that were seen (docs/DECISIONS.md); rooms that come independently of each other would have an infinite one.
const evenness = 3.0

// forecast predicts when room comes from the streams of a service that are under way.
type forecast struct {
	lives *sample
	ages  []time.Duration
	// gain is how many rooms come for each own stream that ends.
	gain float64
}

// rooms returns how many rooms are expected within a time: first from the streams under way, by their ages, and beyond a mean life
// from those that follow them.
func (c *forecast) rooms(within time.Duration) float64 {
	mean := c.lives.mean()
	near, far := min(within, mean), max(within-mean, 0)
	ends := float64(len(c.ages)) * float64(far) / float64(mean)
	for _, age := range c.ages {
		ends += c.lives.within(age, near)
	}
	return ends * c.gain
}

// likelihood returns how likely it is that so many rooms come within a time.
func (c *forecast) likelihood(places float64, within time.Duration) float64 {
	if within <= 0 {
		return 0
	}
	return atLeast(int(math.Ceil(places)), c.rooms(within))
}

// by returns the least time in which so many rooms come with a likelihood, at most a limit.
func (c *forecast) by(places, likelihood float64, limit time.Duration) time.Duration {
	return leastTime(limit, func(within time.Duration) bool { return c.likelihood(places, within) >= likelihood })
}

// atLeast returns the likelihood of at least n events where so many are expected, at a rate that is itself spread by its evenness
// (a negative binomial distribution).
func atLeast(n int, expected float64) float64 {
	part := expected / (evenness + expected)
	term := math.Pow(1-part, evenness)
	fewer := 0.0
	for k := range n {
		fewer += term
		term *= part * (float64(k) + evenness) / float64(k+1)
	}
	return max(1-fewer, 0)
}
