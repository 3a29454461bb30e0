package standin

import (
	"sync"
	"time"

	"junctioncross/engine"
)

// maxOvershoot bounds by how much the next step is shortened after one that took too long.
const maxOvershoot = 2 * time.Millisecond

// queuedFrame is a frame in the queue; done is signalled once result is set.
type queuedFrame struct {
	frame  engine.Frame
	result engine.Result
	done   *sync.WaitGroup
}

// Submit queues frames and blocks until all of them have run or been refused; it returns their results in the same order.
func (e *Engine) Submit(frames []engine.Frame) engine.StepReply {
	time.Sleep(e.settings.Link)
	defer time.Sleep(e.settings.Link)
	var done sync.WaitGroup
	items := make([]*queuedFrame, len(frames))
	for i := range frames {
		items[i] = &queuedFrame{frame: frames[i], done: &done}
	}
	done.Add(len(items))
	e.mu.Lock()
	e.waiting = append(e.waiting, items...)
	e.mu.Unlock()
	e.signal()
	done.Wait()
	reply := engine.StepReply{Results: make([]engine.Result, len(items))}
	for i, q := range items {
		reply.Results[i] = q.result
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reply.StepMicros = e.lastStep.Microseconds()
	reply.Leaving = e.leaving
	return reply
}

// signal has the batch loop look at the queue again.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// loop runs the batches, one after the other.
func (e *Engine) loop() {
	for range e.wake {
		for {
			batch := e.nextBatch()
			if len(batch) == 0 {
				break
			}
			e.runBatch(batch)
		}
	}
}

// nextBatch removes the next batch from the queue: the frames of the highest priority, then the others in order of arrival.
// It returns none while the queue is empty or the engine hangs.
func (e *Engine) nextBatch() []*queuedFrame {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hung || len(e.waiting) == 0 {
		return nil
	}
	batch := make([]*queuedFrame, 0, e.settings.MaxBatch)
	rest := make([]*queuedFrame, 0, len(e.waiting))
	best := highestPriority(e.waiting)
	for _, q := range e.waiting {
		if len(batch) < e.settings.MaxBatch && q.frame.Priority == best {
			batch = append(batch, q)
			continue
		}
		rest = append(rest, q)
	}
	for len(batch) < e.settings.MaxBatch && len(rest) > 0 {
		batch = append(batch, rest[0])
		rest = rest[1:]
	}
	e.waiting = rest
	e.running = len(batch)
	return batch
}

func highestPriority(queue []*queuedFrame) int {
	best := queue[0].frame.Priority
	for _, q := range queue {
		best = max(best, q.frame.Priority)
	}
	return best
}

// runBatch takes the time of one step and computes the frames of a batch.
func (e *Engine) runBatch(batch []*queuedFrame) {
	step := e.stepTime(batch)
	// time.Sleep may take up to a millisecond too long; the next step is shorter by the excess.
	start := time.Now()
	time.Sleep(step - e.overshoot)
	e.overshoot = min(max(time.Since(start)-(step-e.overshoot), 0), maxOvershoot)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastStep = step
	e.running = 0
	e.busy += step
	e.steps++
	e.sequences += len(batch)
	for _, q := range batch {
		q.result = e.runFrame(&q.frame)
		q.done.Done()
	}
}

// stepTime returns how long the step of a batch takes.
func (e *Engine) stepTime(batch []*queuedFrame) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefill := 0
	for _, q := range batch {
		prefill += max(len(q.frame.Input), len(q.frame.Text)/4) - 1
	}
	perLayer := e.settings.LayerMicros + e.settings.SequenceMicros*float64(len(batch)) +
		e.settings.PrefillMicros*float64(max(prefill, 0))
	return time.Duration(perLayer * e.slow * float64(e.layers.Count()) * float64(time.Microsecond))
}
