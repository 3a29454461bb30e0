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
	// maxCallsInFlight bounds the simultaneous calls to one server.
	maxCallsInFlight = 16
	// maxFramesPerCall keeps a call small enough for one step of the engine: if it took several, all answers would wait for the last
	// step.
	maxFramesPerCall = 12
	// windowDivisor sets how long a call waits for more frames: the mean step time divided by it, but at most maxWindow.
	windowDivisor = 50
	maxWindow     = 300 * time.Microsecond
	// callTimeout bounds one call, even if its server makes progress with other frames.
	callTimeout = 5 * time.Second
)

// pending is a frame that waits for its answer.
type pending struct {
	frame   *Frame
	settled atomic.Bool
	answer  chan Answer
}

// settle delivers the first answer and reports true; it drops any later one.
func (p *pending) settle(a Answer) bool {
	if p.settled.Swap(true) {
		return false
	}
	p.answer <- a
	return true
}

// Answer is the outcome of one frame: its result or an error.
type Answer struct {
	result Result
	err    error
}

// Batcher sends frames to one backend server, several in one call.
type Batcher struct {
	client   *Client
	clock    *timer.Service
	addr     string
	stats    *metrics.Registry
	progress *Progress
	// queue holds frames that have not been sent yet.
	queue chan *pending
	// slots holds one element for each call in flight.
	slots    chan struct{}
	stop     chan struct{}
	stopOnce sync.Once
	// onBusy is called when a frame begins while none is in flight.
	onBusy func()
	// leaving is what the last answer reported.
	leaving atomic.Bool

	mu sync.Mutex
	// outstanding holds the frames in flight: queued or sent, and not answered.
	outstanding map[*pending]struct{}
}

// NewBatcher returns a Batcher for the backend server at addr and starts its sending goroutine; onBusy is called whenever a frame
// begins while none is in flight.
func NewBatcher(client *Client, clock *timer.Service, addr string, stats *metrics.Registry, onBusy func()) *Batcher {
	b := &Batcher{
		client:      client,
		clock:       clock,
		addr:        addr,
		stats:       stats,
		progress:    &Progress{},
		queue:       make(chan *pending, maxFramesPerCall*maxCallsInFlight),
		slots:       make(chan struct{}, maxCallsInFlight),
		stop:        make(chan struct{}),
		onBusy:      onBusy,
		outstanding: map[*pending]struct{}{},
	}
	go func() { b.send() }()
	return b
}

// Run sends one frame and waits for its result, at most until ctx ends; the frame must not change meanwhile. The error is one of
// this package.
func (b *Batcher) Run(ctx context.Context, frame *Frame) (Result, error) {
	p := &pending{frame: frame, answer: make(chan Answer, 1)}
	b.track(p)
	defer b.untrack(p)
	select {
	case b.queue <- p:
	case <-ctx.Done():
		return Result{}, ErrRefused
	case <-b.stop:
		return Result{}, ErrUnreachable
	}
	select {
	case a := <-p.answer:
		return a.result, a.err
	case <-ctx.Done():
		return Result{}, ErrTimeout
	}
}

// track counts the frame as in flight until untrack.
func (b *Batcher) track(p *pending) {
	if b.progress.begin(positionsOf(p.frame), b.clock.Now()) {
		b.onBusy()
	}
	b.mu.Lock()
	b.outstanding[p] = struct{}{}
	b.mu.Unlock()
}

func (b *Batcher) untrack(p *pending) {
	p.settled.Store(true)
	b.mu.Lock()
	delete(b.outstanding, p)
	b.mu.Unlock()
	b.progress.end(positionsOf(p.frame))
}

// positionsOf returns the number of positions of a frame; a text counts as one token for each four bytes.
func positionsOf(f *Frame) int { return max(len(f.Input), len(f.Text)/4, 1) }

// CheckProgress fails every frame in flight with ErrTimeout when the server has made no progress for too long.
func (b *Batcher) CheckProgress(now time.Time) {
	if !b.progress.stalled(now) {
		return
	}
	b.stats.Counter("servers_stalled_total").Inc(1)
	b.mu.Lock()
	defer b.mu.Unlock()
	for p := range b.outstanding {
		p.settle(Answer{err: ErrTimeout})
	}
}

// InFlight returns the number of frames in flight, including those that are queued.
func (b *Batcher) InFlight() int { return b.progress.inFlight() }

// StepTime returns the expected time from call to answer; it is zero while unknown.
func (b *Batcher) StepTime() time.Duration { return b.progress.stepTime() }

// Slow reports whether the server's last steps took much longer than expected. It uses the step times that the server reports,
// which exclude the time in its queue.
func (b *Batcher) Slow(expected time.Duration) bool { return b.progress.slow(expected) }

// Leaving reports whether the last answer of the backend server says that it is about to shut down.
func (b *Batcher) Leaving() bool { return b.leaving.Load() }

// Close stops the sending goroutine; frames that were not sent fail with ErrUnreachable.
func (b *Batcher) Close() { b.stopOnce.Do(func() { close(b.stop) }) }

func (b *Batcher) send() {
	defer b.drainQueue()
	for {
		select {
		case b.slots <- struct{}{}:
		case <-b.stop:
			return
		}
		batch := b.nextBatch()
		if batch == nil {
			return
		}
		go func() {
			b.call(batch)
			<-b.slots
		}()
	}
}

// nextBatch waits for a frame and adds those that follow within a short window; nil means that the Batcher was closed.
func (b *Batcher) nextBatch() []*pending {
	var batch []*pending
	select {
	case p := <-b.queue:
		batch = append(batch, p)
	case <-b.stop:
		return nil
	}
	// Sequences that leave a step of the previous server together arrive here one after the other within this window. If they were
	// sent separately, the first would start a step of this server alone, and the others would wait for the end of that step.
	window := b.clock.After(min(b.StepTime()/windowDivisor, maxWindow))
	for len(batch) < maxFramesPerCall {
		select {
		case p := <-b.queue:
			batch = append(batch, p)
		case <-window:
			return batch
		}
	}
	return batch
}

func (b *Batcher) drainQueue() {
	for {
		select {
		case p := <-b.queue:
			p.settle(Answer{err: ErrUnreachable})
		default:
			return
		}
	}
}

func (b *Batcher) call(batch []*pending) {
	call := StepCall{Frames: make([]Frame, len(batch))}
	decoding := true
	for i := range batch {
		call.Frames[i] = *batch[i].frame
		decoding = decoding && positionsOf(batch[i].frame) == 1
	}
	b.stats.Counter("engine_calls_total").Inc(1)
	b.stats.Counter("engine_frames_total").Inc(int64(len(batch)))
	start := b.clock.Now()
	reply, err := b.client.Step(b.addr, call, callTimeout)
	if err == nil {
		b.progress.recordAnswer(b.clock.Now(), b.clock.Since(start), decoding)
		b.progress.recordStep(time.Duration(reply.StepMicros) * time.Microsecond)
		b.leaving.Store(reply.Leaving)
	}
	for i := range batch {
		if !batch[i].settle(match(batch[i].frame, reply, i, err)) {
			b.stats.Counter("frames_dropped_total").Inc(1)
		}
	}
}

// match returns the result at index i of the reply if it belongs to the frame f, and an error otherwise; err is the error of the
// call.
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
