package supervise

import "time"

// Pause says until when a part that panicked is left alone; its zero value stands for none. It is not safe for concurrent use.
type Pause struct {
	restarts     Restarts
	begun, until time.Time
}

// Begin notes a panic at a time. The pause is longer after each panic in a row.
func (p *Pause) Begin(now time.Time) {
	p.until = now.Add(p.restarts.Pause(now.Sub(p.begun)))
	p.begun = now
}

// InRow returns the number of panics in a row.
func (p *Pause) InRow() int { return p.restarts.InRow() }

// Over reports whether the pause is over.
func (p *Pause) Over(now time.Time) bool { return !now.Before(p.until) }
