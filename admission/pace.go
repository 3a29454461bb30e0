package admission

import "time"

const (
	// paceTime is the time constant with which an instance makes up for the chance in its own requests.
	paceTime = time.Second
	// fewRequests is the expected rate, a second, up to which an instance makes up for nothing: the chance of one of many instances
	// with few requests each is great beside its part, and the queue of the whole fleet takes it.
	fewRequests = 4
	// partTime is the time constant with which an instance's part of all requests is followed, and partRequests the number of its own
	// requests that weighs as much as the assumption that all instances have equal parts.
	partTime     = 10 * time.Second
	partRequests = 10
)

// pace follows how many requests fewer an instance admitted than the levels let in on average. The requests of an instance arrive
// by chance, and totals tell it too late, so that each instance makes up for it with its returned callers.
type pace struct {
	// at is the time for which behind, own and all hold.
	at time.Time
	// behind is how many requests fewer than expected were admitted lately; it is negative after more.
	behind float64
	// own and all are the numbers of recent requests on this instance and on all.
	own, all float64
	// offered is how many requests a second arrive on all instances, and expected how many this instance is to admit.
	offered, expected float64
	// returned and refused are how many returned callers a second the levels admit and refuse on this instance.
	returned, refused float64
}

// advance brings the numbers to a later time. After a gap longer than totals are used for, nothing is left to make up for.
func (p *pace) advance(now time.Time) {
	dt := now.Sub(p.at)
	if p.at.IsZero() || dt > maxAge {
		p.at, p.behind, dt = now, 0, 0
	}
	if dt <= 0 {
		return
	}
	p.at = now
	p.behind += (p.expected*paceTime.Seconds() - p.behind) * gain(dt, paceTime)
	part := gain(dt, partTime)
	p.own -= p.own * part
	p.all += (p.offered*partTime.Seconds() - p.all) * part
}

// update takes in the levels and rates of the classes on a number of instances.
func (p *pace) update(entries []entry, instances int, now time.Time) {
	p.advance(now)
	p.offered, p.expected, p.returned, p.refused = 0, 0, 0, 0
	for i := range entries {
		e := &entries[i]
		p.offered += e.offered + e.returned
		p.returned += e.returned * e.returnedLevel
		p.refused += e.returned * (1 - e.returnedLevel)
		p.expected += e.offered * e.level
	}
	p.expected += p.returned
	part := (p.own + partRequests) / (p.all + partRequests*float64(instances))
	p.expected, p.returned, p.refused = p.expected*part, p.returned*part, p.refused*part
}

// arrived counts a request on this instance.
func (p *pace) arrived(now time.Time) {
	p.advance(now)
	p.own++
}

// admitted counts a request that this instance admitted.
func (p *pace) admitted() { p.behind-- }

// shift returns the share of returned callers to admit in place of their level.
func (p *pace) shift(level float64) float64 {
	weight := max(1-fewRequests/p.expected, 0)
	rate := weight * p.behind / paceTime.Seconds()
	switch {
	case rate > 0 && p.refused > 0:
		return level + (1-level)*min(rate/p.refused, 1)
	case rate < 0 && p.returned > 0:
		return level * max(1+rate/p.returned, 0)
	default:
		return level
	}
}
