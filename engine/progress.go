package engine

import (
	"sync"
	"time"
)

const (
	// stalledSteps is the number of expected step times without any answer after which a server counts as stalled.
	stalledSteps      = 6
	minStallLimit     = 40 * time.Millisecond
	initialStallLimit = 500 * time.Millisecond
	maxStallLimit     = 3 * time.Second
	// positionsPerStep lengthens the limit by one expected step for that many positions under way beyond one a frame.
	positionsPerStep = 32
	// slowSteps is the number of reported steps in a row that must be slow before the server counts as slow.
	slowSteps = 2
	// slowFactor is how many times longer than expected a slow step is.
	slowFactor = 3
	// smoothing is the weight of the newest step time in the running mean, as a divisor.
	smoothing = 8
)

// Progress tells a server that works slowly from one that does not work: it judges by the time since the last answer,
// measured in the server's own step times.
type Progress struct {
	mu         sync.Mutex
	frames     int
	positions  int
	lastAnswer time.Time
	meanStep   time.Duration
	// reportedSteps holds the lengths of the last reportedSteps that the server reported, the newest first.
	reportedSteps [slowSteps]time.Duration
}

// begin counts a frame and reports whether it is the only one under way.
func (p *Progress) begin(positions int, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frames == 0 {
		p.lastAnswer = now
	}
	p.frames++
	p.positions += positions
	return p.frames == 1
}

func (p *Progress) end(positions int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frames--
	p.positions -= positions
}

func (p *Progress) recordAnswer(now time.Time, took time.Duration, decoding bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastAnswer = now
	if !decoding {
		return
	}
	if p.meanStep == 0 {
		p.meanStep = took
		return
	}
	p.meanStep += (took - p.meanStep) / smoothing
}

// recordStep takes in the length of a step as the server gave it.
func (p *Progress) recordStep(step time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	copy(p.reportedSteps[1:], p.reportedSteps[:])
	p.reportedSteps[0] = step
}

// slow reports whether all of the last steps took much longer than expected.
func (p *Progress) slow(expected time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.reportedSteps {
		if s <= slowFactor*expected {
			return false
		}
	}
	return expected > 0
}

func (p *Progress) stalled(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frames > 0 && now.Sub(p.lastAnswer) > p.stallLimit()
}

// stallLimit returns how long the server may stay silent; the caller holds the lock.
func (p *Progress) stallLimit() time.Duration {
	if p.meanStep == 0 {
		return initialStallLimit + time.Duration(p.positions)*time.Millisecond
	}
	steps := time.Duration(stalledSteps + (p.positions-p.frames)/positionsPerStep)
	return min(max(p.meanStep*steps, minStallLimit), maxStallLimit)
}

func (p *Progress) inFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frames
}

func (p *Progress) stepTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meanStep
}
