package retry

import (
	"math"
	"time"
)

const (
	// limitWindow is the time over which a server compares the requests that arrive with its limit. Since instances learn of a
	// limit at different times, the server accepts in a window limitShare times the number of requests that the limit allows, and
	// limitFixed more.
	limitWindow            = 4 * time.Second
	limitShare, limitFixed = 1.5, 5.0
	// smallFleetUse is the fraction of a limit that a small fleet uses. Each of its instances may keep one permit unused, and the
	// rest of the limit leaves room for all of these permits being used at once.
	smallFleetUse = 0.75
	// A fleet is small up to smallFleetShare instances for each request a second of the limit, and smallFleetFixed more: up to
	// that number, the server accepts an unused permit of every instance at once.
	smallFleetShare, smallFleetFixed = 2.0, 4.0
	// deviations is how many standard deviations above its mean the number of requests in a window may be before the server
	// refuses some; the requests of a large fleet come at random times. Low limits need as many as this, since small counts
	// deviate further than a normal distribution does.
	deviations = 8.0
	// permitLifetime is how long an instance of a large fleet may keep its permit unused. With a longer lifetime, more instances
	// would hold permits, and could all use them at the same time.
	permitLifetime = 2 * time.Second
	// minLimit is the limit, in requests a second, that a small fleet assumes instead of a lower one: an instance learns only
	// from the answer to a request that a limit has ended, so that it must not stop sending.
	minLimit = 0.1
	// initialDelay is how long an instance sends nothing after it has learned of a limit: the server has just got more requests
	// than the limit allows.
	initialDelay = 2500 * time.Millisecond
)

// Quota is an instance's equal share of a rate limit on the requests of all instances.
type Quota struct {
	// period is the time between two requests of the instance; in a large fleet, the mean time.
	period time.Duration
	// largeFleet is true when there are so many instances that unused permits must expire.
	largeFleet bool
}

// QuotaOf returns the quota of one instance; perSecond is the rate limit for all instances together, in requests a second.
func QuotaOf(perSecond float64, instances int) Quota {
	q, rate := Quota{largeFleet: float64(instances) > smallFleetShare*perSecond+smallFleetFixed}, smallFleetUse*max(perSecond, minLimit)
	if q.largeFleet {
		rate = largeFleetRate(perSecond)
	}
	q.period = time.Duration(float64(instances) / rate * float64(time.Second))
	return q
}

// largeFleetRate returns the rate, in requests a second, at which a large fleet sends. Its instances send at random and
// independently of each other, so that the number of requests in a window has a standard deviation of the square root of its
// mean. The mean is chosen so that the mean plus deviations times its square root is the number that is allowed in a window. It
// is spread over the window and permitLifetime, since permits from before the window may be used in it.
func largeFleetRate(perSecond float64) float64 {
	allowed := limitShare*limitWindow.Seconds()*perSecond + limitFixed
	root := (math.Sqrt(deviations*deviations+4*allowed) - deviations) / 2
	return root * root / (limitWindow + permitLifetime).Seconds()
}

// Period returns the time between two requests of the instance; in a large fleet, the mean time.
func (q Quota) Period() time.Duration { return q.period }

// Pacer spaces the requests of one instance, to keep a rate limit on all instances together. After each request there is a gap,
// and then a permit for one request. No instance knows what the others send: the gaps alone make all instances keep the limit,
// however many requests callers make.
type Pacer struct {
	// gapStart is when the current gap began, and gapPeriods is its length in periods of the quota.
	gapStart   time.Time
	gapPeriods float64
}

// NewPacer returns the pacer of an instance that has just learned of a limit; random is uniform in [0, 1).
func NewPacer(now time.Time, random float64) Pacer {
	return Pacer{gapStart: now.Add(initialDelay), gapPeriods: randomGap(random)}
}

// randomGap returns the length of a gap in periods, drawn from the exponential distribution with mean 1. Such gaps end at any
// time with the same probability, so that instances which began theirs at the same time do not send at the same time.
func randomGap(random float64) float64 { return -math.Log(1 - random) }

// Ready reports whether a request may be sent now. In a large fleet, a permit that has been unused for permitLifetime expires,
// and another gap begins; random is uniform in [0, 1).
func (p *Pacer) Ready(quota Quota, now time.Time, random float64) bool {
	at := p.Next(quota)
	if quota.largeFleet && now.Sub(at) > permitLifetime {
		p.gapStart, p.gapPeriods = now, randomGap(random)
		at = p.Next(quota)
	}
	return !now.Before(at)
}

// Next returns when the next request may be sent.
func (p *Pacer) Next(quota Quota) time.Time {
	return p.gapStart.Add(time.Duration(p.gapPeriods * float64(quota.period)))
}

// Sent records that a request is sent, which uses up the permit; random is uniform in [0, 1).
func (p *Pacer) Sent(quota Quota, now time.Time, random float64) {
	p.gapStart, p.gapPeriods = now, 1
	if quota.largeFleet {
		p.gapPeriods = randomGap(random)
	}
}
