package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"junctioncross/metrics"
	"junctioncross/timer"
)

const (
	maxCallsInFlight = 16
	// maxFramesPerCall keeps a call from being split over several steps, of which the last would hold all its answers up.
	maxFramesPerCall = 12
	// windowShare is the share of a step for which a call waits for more frames, as a divisor.
	windowShare = 50
	maxWindow   = 300 * time.Microsecond
	// callLimit bounds one call whatever the progress of its server.
	callLimit = 5 * time.Second
)

type pending struct {
	frame   *Frame
	settled atomic.Bool
	answer  chan Answer
}

// settle delivers the first answer and drops any later one.
func (p *pending) settle(a Answer) bool {
	if p.settled.Swap(true) {
		return false
	}
	p.answer <- a
	return true
}

// Answer is the outcome of one frame.
type Answer struct {
	result Result
	err    error
}

// Gatherer sends the frames for one backend server, several in one call.
type Gatherer struct {
	caller   *Caller
	clock    *timer.Service
	addr     string
	stats    *metrics.Registry
	progress *Progress
	queue    chan *pending
	slots    chan struct{}
	stop     chan struct{}
	stopOnce sync.Once
	// busy is called when a frame begins while none is under way.
	busy    func()
	leaving atomic.Bool

	mu          sync.Mutex
	outstanding map[*pending]struct{}
}

// NewGatherer returns a Gatherer for the backend server at addr and starts its sender; busy is called whenever a frame
// begins while none is under way.
func NewGatherer(caller *Caller, clock *timer.Service, addr string, stats *metrics.Registry, busy func()) *Gatherer {
	g := &Gatherer{
		caller:      caller,
		clock:       clock,
		addr:        addr,
		stats:       stats,
		progress:    &Progress{},
		queue:       make(chan *pending, maxFramesPerCall*maxCallsInFlight),
		slots:       make(chan struct{}, maxCallsInFlight),
		stop:        make(chan struct{}),
		busy:        busy,
		outstanding: map[*pending]struct{}{},
	}
	go func() { g.send() }()
	return g
}

// Run sends one frame and waits for its answer, at most until ctx ends; the frame must not change meanwhile.
func (g *Gatherer) Run(ctx context.Context, frame *Frame) (Result, error) {
	p := &pending{frame: frame, answer: make(chan Answer, 1)}
	g.enter(p)
	defer g.leave(p)
	select {
	case g.queue <- p:
	case <-ctx.Done():
		return Result{}, ErrRefused
	case <-g.stop:
		return Result{}, ErrUnreachable
	}
	select {
	case a := <-p.answer:
		return a.result, a.err
	case <-ctx.Done():
		return Result{}, ErrTimeout
	}
}

func (g *Gatherer) enter(p *pending) {
	if g.progress.begin(positionsOf(p.frame), g.clock.Now()) {
		g.busy()
	}
	g.mu.Lock()
	g.outstanding[p] = struct{}{}
	g.mu.Unlock()
}

func (g *Gatherer) leave(p *pending) {
	p.settled.Store(true)
	g.mu.Lock()
	delete(g.outstanding, p)
	g.mu.Unlock()
	g.progress.end(positionsOf(p.frame))
}

func positionsOf(f *Frame) int { return max(len(f.Input), len(f.Text)/4, 1) }

// CheckProgress answers every frame under way with ErrTimeout when the server has made no progress for too long.
func (g *Gatherer) CheckProgress(now time.Time) {
	if !g.progress.stalled(now) {
		return
	}
	g.stats.Counter("servers_stalled_total").Inc(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	for p := range g.outstanding {
		p.settle(Answer{err: ErrTimeout})
	}
}

// InFlight returns the number of frames under way.
func (g *Gatherer) InFlight() int { return g.progress.inFlight() }

// StepTime returns the expected time from call to answer, zero while unknown.
func (g *Gatherer) StepTime() time.Duration { return g.progress.stepTime() }

// Slow reports whether the server's last steps took much longer than expected, by its own word, so that waiting in its
// queue does not count.
func (g *Gatherer) Slow(expected time.Duration) bool { return g.progress.slow(expected) }

// Leaving reports whether the backend server has said in an answer that it is leaving.
func (g *Gatherer) Leaving() bool { return g.leaving.Load() }

// Close ends the sender; frames that were not sent are answered with ErrUnreachable.
func (g *Gatherer) Close() { g.stopOnce.Do(func() { close(g.stop) }) }

func (g *Gatherer) send() {
	defer g.drainQueue()
	for {
		select {
		case g.slots <- struct{}{}:
		case <-g.stop:
			return
		}
		batch := g.nextBatch()
		if batch == nil {
			return
		}
		go func() {
			g.call(batch)
			<-g.slots
		}()
	}
}

// nextBatch waits for a frame and takes along those that are queued behind it; nil means that the sender was stopped.
func (g *Gatherer) nextBatch() []*pending {
	var batch []*pending
	select {
	case p := <-g.queue:
		batch = append(batch, p)
	case <-g.stop:
		return nil
	}
	// Sequences that came out of a step together arrive one after the other within this window. Sent apart, the first would
	// start a step of the next server alone, and the others would wait for its end.
	window := g.clock.After(min(g.StepTime()/windowShare, maxWindow))
	for len(batch) < maxFramesPerCall {
		select {
		case p := <-g.queue:
			batch = append(batch, p)
		case <-window:
			return batch
		}
	}
	return batch
}

func (g *Gatherer) drainQueue() {
	for {
		select {
		case p := <-g.queue:
			p.settle(Answer{err: ErrUnreachable})
		default:
			return
		}
	}
}

func (g *Gatherer) call(batch []*pending) {
	call := StepCall{Frames: make([]Frame, len(batch))}
	decoding := true
	for i := range batch {
		call.Frames[i] = *batch[i].frame
		decoding = decoding && positionsOf(batch[i].frame) == 1
	}
	g.stats.Counter("engine_calls_total").Inc(1)
	g.stats.Counter("engine_frames_total").Inc(int64(len(batch)))
	start := g.clock.Now()
	reply, err := g.caller.Step(g.addr, call, callLimit)
	if err == nil {
		g.progress.answered(g.clock.Now(), g.clock.Since(start), decoding)
		g.progress.reported(time.Duration(reply.StepMicros) * time.Microsecond)
		g.leaving.Store(reply.Leaving)
	}
	for i := range batch {
		if !batch[i].settle(match(batch[i].frame, reply, i, err)) {
			g.stats.Counter("frames_dropped_total").Inc(1)
		}
	}
}

// match accepts a result only when it answers exactly this frame.
func match(f *Frame, reply StepReply, i int, err error) Answer {
	if err != nil {
		return Answer{err: err}
	}
	if i >= len(reply.Results) || !reply.Results[i].Answers(f) {
		return Answer{err: ErrOutOfOrder}
	}
	switch r := reply.Results[i]; r.Code {
	case CodeDone:
		return Answer{result: r}
	case CodeNotStarted:
		return Answer{err: ErrRefused}
	default:
		return Answer{err: ErrOutOfOrder}
	}
}
