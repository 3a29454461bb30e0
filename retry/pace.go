package retry

import (
	"math"
	"time"
)

const (
	// limitWindow is the time in which a server counts what it gets against its limit. In it limitShare times what the limit allows and
	// limitFixed requests more may arrive, since instances hear of a limit at different moments.
	limitWindow            = 4 * time.Second
	limitShare, limitFixed = 1.5, 5.0
	// smallFleetUse is the part of a limit that is used while each instance may save one request: the rest of the window has room for these.
	smallFleetUse = 0.75
	// smallFleetShare and smallFleetFixed say how many instances are few, by the limit: for these there is room.
	smallFleetShare, smallFleetFixed = 2.0, 4.0
	// deviations is the number of standard deviations by which the requests of many instances may come together by chance in a window. Low limits
	// need so many: small counts deviate further than a normal distribution does.
	deviations = 8.0
	// permitLifetime is how long one of many instances may leave its turn unused; what lapsed later could be used by all in the same moment.
	permitLifetime = 2 * time.Second
	// minLimit is what few instances take a lower limit for, in requests a second: whoever sent nothing would never hear that it is over.
	minLimit = 0.1
	// initialDelay is how long nothing is sent once a limit is named: the server has just got more.
	initialDelay = 2500 * time.Millisecond
)

// Quota is an instance's equal part of a limit on the requests of all instances.
type Quota struct {
	// period is the time between two requests, in the mean where there are many instances.
	period time.Duration
	// largeFleet is true when there are so largeFleet instances that none may keep its turn.
	largeFleet bool
}

// QuotaOf returns the part of one of so many instances in a number of requests a second.
func QuotaOf(perSecond float64, instances int) Quota {
	q, rate := Quota{largeFleet: float64(instances) > smallFleetShare*perSecond+smallFleetFixed}, smallFleetUse*max(perSecond, minLimit)
	if q.largeFleet {
		rate = largeFleetRate(perSecond)
	}
	q.period = time.Duration(float64(instances) / rate * float64(time.Second))
	return q
}

// largeFleetRate returns the requests a second of instances that send independently of each other, so that what they have in a window by chance
// stays within what is allowed: the mean and spread times its root.
func largeFleetRate(perSecond float64) float64 {
	allowed := limitShare*limitWindow.Seconds()*perSecond + limitFixed
	root := (math.Sqrt(deviations*deviations+4*allowed) - deviations) / 2
	return root * root / (limitWindow + permitLifetime).Seconds()
}

// Period returns the time between two requests, in the mean where there are many instances.
func (q Quota) Period() time.Duration { return q.period }

// Pacer spaces the requests of one instance. No instance knows what the others send: that all together keep to the limit follows from the
// spaces alone, whatever callers ask for.
type Pacer struct {
	// gapStart is when the present space began, and share its length in periods.
	gapStart   time.Time
	gapPeriods float64
}

// NewPacer returns the pace of an instance that has just heard of a limit; random is uniform in [0, 1).
func NewPacer(now time.Time, random float64) Pacer {
	return Pacer{gapStart: now.Add(initialDelay), gapPeriods: randomGap(random)}
}

// randomGap returns a space of one period in the mean. Spaces drawn in that way end at any moment equally often, however many instances
// began theirs at the same moment.
func randomGap(random float64) float64 { return -math.Log(1 - random) }

// Ready reports whether a request may go now. One of many instances that has left its turn unused for long gets another one; random is
// uniform in [0, 1).
func (p *Pacer) Ready(quota Quota, now time.Time, random float64) bool {
	at := p.Next(quota)
	if quota.largeFleet && now.Sub(at) > permitLifetime {
		p.gapStart, p.gapPeriods = now, randomGap(random)
		at = p.Next(quota)
	}
	return !now.Before(at)
}

// Next returns when the next request may go.
func (p *Pacer) Next(quota Quota) time.Time {
	return p.gapStart.Add(time.Duration(p.gapPeriods * float64(quota.period)))
}

// Sent notes that a request goes; random is uniform in [0, 1).
func (p *Pacer) Sent(quota Quota, now time.Time, random float64) {
	p.gapStart, p.gapPeriods = now, 1
	if quota.largeFleet {
		p.gapPeriods = randomGap(random)
	}
}
