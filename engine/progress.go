package engine

import (
	"sync"
	"time"
)

const (
	// stalledSteps is the number of mean step times without any answer after which a server counts as stalled.
	stalledSteps  = 6
	minStallLimit = 40 * time.Millisecond
	// initialStallLimit applies until the step time is known; each position in flight adds a millisecond.
	initialStallLimit = 500 * time.Millisecond
	maxStallLimit     = 3 * time.Second
	// positionsPerStep is the number of positions in flight, beyond one for each frame, that lengthens the limit by one mean step
	// time.
	positionsPerStep = 32
	// slowSteps is the number of reported steps in a row that must be slow before the server counts as slow.
	slowSteps = 2
	// slowFactor is how many times longer than expected a step must take to count as slow.
	slowFactor = 3
	// smoothing is the divisor that gives the newest step time its weight in the moving average: 1/smoothing.
	smoothing = 8
)

// Progress tracks the progress of one server, to distinguish a slow server from a stalled one. A server counts as stalled when
// the time since its last answer is too long compared with its own mean step time.
type Progress struct {
	mu sync.Mutex
	// frames is the number of frames in flight, positions the number of token positions in them.
	frames    int
	positions int
	// lastAnswer is the time of the last answer, or of the first frame after a time without frames if that is later.
	lastAnswer time.Time
	// meanStep is the moving average of the time from call to answer for decode steps; it is zero while unknown.
	meanStep time.Duration
	// reportedSteps holds the lengths of the last steps that the server reported, the newest first.
	reportedSteps [slowSteps]time.Duration
}

// begin counts a frame and reports whether it is the only one in flight.
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

// recordAnswer records that a call was answered; only calls whose frames all decode a single position count in the mean step
// time.
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

// recordStep records the length of a step as the server reported it.
func (p *Progress) recordStep(step time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	copy(p.reportedSteps[1:], p.reportedSteps[:])
	p.reportedSteps[0] = step
}

// slow reports whether each of the last reported steps took much longer than expected.
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

// stalled reports whether frames are in flight and the server has not answered within the limit.
func (p *Progress) stalled(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frames > 0 && now.Sub(p.lastAnswer) > p.stallLimit()
}

// stallLimit returns how long the server may take until its next answer; the caller holds the lock.
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
