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
	// windowDivisor is the share of a step for which a call waits for more frames, as a divisor.
	windowDivisor = 50
	maxWindow     = 300 * time.Microsecond
	// callTimeout bounds one call whatever the progress of its server.
	callTimeout = 5 * time.Second
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

// Batcher sends the frames for one backend server, several in one call.
type Batcher struct {
	client   *Caller
	clock    *timer.Service
	addr     string
	stats    *metrics.Registry
	progress *Progress
	queue    chan *pending
	slots    chan struct{}
	stop     chan struct{}
	stopOnce sync.Once
	// onBusy is called when a frame begins while none is under way.
	onBusy  func()
	leaving atomic.Bool

	mu          sync.Mutex
	outstanding map[*pending]struct{}
}

// NewBatcher returns a Batcher for the backend server at addr and starts its sender; busy is called whenever a frame
// begins while none is under way.
func NewBatcher(client *Caller, clock *timer.Service, addr string, stats *metrics.Registry, onBusy func()) *Batcher {
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

// Run sends one frame and waits for its answer, at most until ctx ends; the frame must not change meanwhile.
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

func positionsOf(f *Frame) int { return max(len(f.Input), len(f.Text)/4, 1) }

// CheckProgress answers every frame under way with ErrTimeout when the server has made no progress for too long.
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

// InFlight returns the number of frames under way.
func (b *Batcher) InFlight() int { return b.progress.inFlight() }

// StepTime returns the expected time from call to answer, zero while unknown.
func (b *Batcher) StepTime() time.Duration { return b.progress.stepTime() }

// Slow reports whether the server's last steps took much longer than expected, by its own word, so that waiting in its
// queue does not count.
func (b *Batcher) Slow(expected time.Duration) bool { return b.progress.slow(expected) }

// Leaving reports whether the backend server has said in an answer that it is leaving.
func (b *Batcher) Leaving() bool { return b.leaving.Load() }

// Close ends the sender; frames that were not sent are answered with ErrUnreachable.
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

// nextBatch waits for a frame and takes along those that are queued behind it; nil means that the sender was stopped.
func (b *Batcher) nextBatch() []*pending {
	var batch []*pending
	select {
	case p := <-b.queue:
		batch = append(batch, p)
	case <-b.stop:
		return nil
	}
	// Sequences that came out of a step together arrive one after the other within this window. Sent apart, the first would
	// start a step of the next server alone, and the others would wait for its end.
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
