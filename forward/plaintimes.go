package forward

import (
	"sync"
	"time"
)

// plainTimes holds how long the latest answers of plain services took. It is safe for concurrent use.
type plainTimes struct {
	mu      sync.Mutex
	samples map[plainAnswers]*sample
}

// plainAnswers are the answers of one service that are compared with each other: its streams, or its other answers.
type plainAnswers struct {
	service string
	streams bool
}

// add records the time of the answer to a request.
func (p *plainTimes) add(r *request, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ofLocked(r).add(took)
}

// quantile returns the time within which the given part of the answers of the request's service has come.
func (p *plainTimes) quantile(r *request, part float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ofLocked(r).quantile(part)
}

// ofLocked returns the sample of the request's service; the caller holds the lock. A service that has given no answer yet is assumed to meet
// the objective in the mean.
func (p *plainTimes) ofLocked(r *request) *sample {
	answers := plainAnswers{service: r.group.Service().Name, streams: r.route.Stream}
	s := p.samples[answers]
	if s == nil {
		assumed := newSample(r.route.Objective)
		s = &assumed
		p.samples[answers] = s
	}
	return s
}
