package load

import (
	"context"
	"sync"
	"time"

	"junctioncross/models"
)

// Outcome is one finished request of a run.
type Outcome struct {
	Ask   Ask
	Reply *Reply
	Err   error
	Start time.Time
	Wrong bool
}

// Result adds up the outcomes of a run.
type Result struct {
	mu       sync.Mutex
	outcomes []Outcome
}

// Add takes one outcome in.
func (r *Result) Add(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// Outcomes returns every outcome.
func (r *Result) Outcomes() []Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Outcome(nil), r.outcomes...)
}

// Summary counts the outcomes by what became of them.
type Summary struct {
	Requests int
	Complete int
	Refused  int
	// Lost counts answers that were cut, and requests that got no answer.
	Lost int
	// Wrong counts whole answers that differ from the computed ones.
	Wrong           int
	Tokens          int
	FirstTokenTimes []time.Duration
	Gaps            []time.Duration
	// Reasons counts refusals by reason.
	Reasons map[models.Reason]int
}

// Summarize adds the outcomes up.
func (r *Result) Summarize() Summary {
	t := Summary{Reasons: map[models.Reason]int{}}
	for _, o := range r.Outcomes() {
		t.add(o)
	}
	return t
}

func (t *Summary) add(o Outcome) {
	t.Requests++
	if o.Reply != nil {
		t.Tokens += o.Reply.Tokens
		t.Gaps = append(t.Gaps, o.Reply.Gaps...)
		if o.Reply.Tokens > 0 {
			t.FirstTokenTimes = append(t.FirstTokenTimes, o.Reply.FirstTokenTime)
		}
		if o.Reply.Reason != "" {
			t.Reasons[o.Reply.Reason]++
		}
	}
	switch {
	case o.Err == nil && o.Reply.Complete() && o.Wrong:
		t.Wrong++
	case o.Err == nil && o.Reply.Complete():
		t.Complete++
	case o.Err == nil && o.Reply.Tokens == 0 && o.Reply.Fate == models.FateNotRun:
		t.Refused++
	default:
		t.Lost++
	}
}

// Check compares an answer with the expected one.
type Check func(a Ask, r *Reply) bool

// RunClosed keeps that many requests under way until ctx ends; next returns the n-th request. Requests under way at the
// end are finished.
func RunClosed(ctx context.Context, workers int, next func(n int) Ask, check Check) *Result {
	result := &Result{}
	client := NewClient()
	numbers := make(chan int)
	go func() {
		defer close(numbers)
		for n := 0; ; n++ {
			select {
			case numbers <- n:
			case <-ctx.Done():
				return
			}
		}
	}()
	var running sync.WaitGroup
	for range workers {
		running.Go(func() {
			for n := range numbers {
				result.Add(client.run(next(n), check))
			}
		})
	}
	running.Wait()
	return result
}

// RunOpen starts rate requests a second until ctx ends, whatever becomes of the earlier ones, and waits for the last.
func RunOpen(ctx context.Context, rate float64, next func(n int) Ask, check Check) *Result {
	result := &Result{}
	client := NewClient()
	start := time.Now()
	var running sync.WaitGroup
	for n := 0; ; n++ {
		due := start.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			running.Wait()
			return result
		}
		running.Go(func() { result.Add(client.run(next(n), check)) })
	}
}

// requestTimeout bounds one request of a run.
const requestTimeout = 60 * time.Second

func (c *Client) run(a Ask, check Check) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	o := Outcome{Ask: a, Start: time.Now()}
	o.Reply, o.Err = c.Stream(ctx, a)
	if o.Err == nil && o.Reply.Complete() {
		o.Wrong = !check(a, o.Reply)
	}
	return o
}
