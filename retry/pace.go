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
	// fewPart is the part of a limit that is used while each instance may save one request: the rest of the window has room for these.
	fewPart = 0.75
	// fewShare and fewFixed say how many instances are few, by the limit: for these there is room.
	fewShare, fewFixed = 2.0, 4.0
	// spread is the number of standard deviations by which the requests of many instances may come together by chance in a window. Low limits
	// need so many: small counts deviate further than a normal distribution does.
	spread = 8.0
	// openTime is how long one of many instances may leave its turn unused; what lapsed later could be used by all in the same moment.
	openTime = 2 * time.Second
	// leastLimit is what few instances take a lower limit for, in requests a second: whoever sent nothing would never hear that it is over.
	leastLimit = 0.1
	// debtTime is how long nothing is sent once a limit is named: the server has just got more.
	debtTime = 2500 * time.Millisecond
)

// Part is an instance's equal part of a limit on the requests of all instances.
type Part struct {
	// period is the time between two requests, in the mean where there are many instances.
	period time.Duration
	// many is true when there are so many instances that none may keep its turn.
	many bool
}

// PartOf returns the part of one of so many instances in a number of requests a second.
func PartOf(perSecond float64, instances int) Part {
	p, used := Part{many: float64(instances) > fewShare*perSecond+fewFixed}, fewPart*max(perSecond, leastLimit)
	if p.many {
		used = manyRate(perSecond)
	}
	p.period = time.Duration(float64(instances) / used * float64(time.Second))
	return p
}

// manyRate returns the requests a second of instances that send independently of each other, so that what they have in a window by chance
// stays within what is allowed: the mean and spread times its root.
func manyRate(perSecond float64) float64 {
	allowed := limitShare*limitWindow.Seconds()*perSecond + limitFixed
	root := (math.Sqrt(spread*spread+4*allowed) - spread) / 2
	return root * root / (limitWindow + openTime).Seconds()
}

// Period returns the time between two requests, in the mean where there are many instances.
func (p Part) Period() time.Duration { return p.period }

// Pace spaces the requests of one instance. No instance knows what the others send: that all together keep to the limit follows from the
// spaces alone, whatever callers ask for.
type Pace struct {
	// from is when the present space began, and share its length in periods.
	from  time.Time
	share float64
}

// NewPace returns the pace of an instance that has just heard of a limit; random is uniform in [0, 1).
func NewPace(now time.Time, random float64) Pace {
	return Pace{from: now.Add(debtTime), share: exponential(random)}
}

// exponential returns a space of one period in the mean. Spaces drawn in that way end at any moment equally often, however many instances
// began theirs at the same moment.
func exponential(random float64) float64 { return -math.Log(1 - random) }

// Ready reports whether a request may go now. One of many instances that has left its turn unused for long gets another one; random is
// uniform in [0, 1).
func (p *Pace) Ready(part Part, now time.Time, random float64) bool {
	at := p.Next(part)
	if part.many && now.Sub(at) > openTime {
		p.from, p.share = now, exponential(random)
		at = p.Next(part)
	}
	return !now.Before(at)
}

// Next returns when the next request may go.
func (p *Pace) Next(part Part) time.Time {
	return p.from.Add(time.Duration(p.share * float64(part.period)))
}

// Sent notes that a request goes; random is uniform in [0, 1).
func (p *Pace) Sent(part Part, now time.Time, random float64) {
	p.from, p.share = now, 1
	if part.many {
		p.share = exponential(random)
	}
}
