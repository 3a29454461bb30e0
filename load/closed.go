package load

import (
	"context"
	"sync"
	"time"

	"junctioncross/models"
)

// Outcome is one finished request of a run. Reply and Err are the results of Client.Stream.
type Outcome struct {
	Ask   Request
	Reply *Response
	Err   error
	// Start is when the request was sent.
	Start time.Time
	// Wrong reports that the answer is complete but differs from the expected one.
	Wrong bool
}

// Result collects the outcomes of a run. It is safe for concurrent use.
type Result struct {
	mu       sync.Mutex
	outcomes []Outcome
}

// Add adds one outcome.
func (r *Result) Add(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// Outcomes returns a copy of all outcomes so far, in the order in which the requests finished.
func (r *Result) Outcomes() []Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Outcome(nil), r.outcomes...)
}

// Summary counts the outcomes of a run by kind and holds their times. Each request is either Complete, Refused, Lost or Wrong.
type Summary struct {
	Requests int
	// Complete counts complete answers that are as expected.
	Complete int
	// Refused counts requests that were refused as not run.
	Refused int
	// Lost counts all others: answers that were cut off, and requests that got no answer.
	Lost int
	// Wrong counts complete answers that differ from the expected ones.
	Wrong           int
	Tokens          int
	FirstTokenTimes []time.Duration
	Gaps            []time.Duration
	// Reasons counts the reasons in error bodies and error events.
	Reasons map[models.Reason]int
}

// Summarize returns the summary of the outcomes so far.
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

// Check reports whether a complete answer is as expected.
type Check func(a Request, r *Response) bool

// RunClosed runs a closed loop of that many workers until ctx ends: each worker sends a request, waits for its end and sends
// the next one. next returns the n-th request. RunClosed waits for the requests that are in flight when ctx ends.
func RunClosed(ctx context.Context, workers int, next func(n int) Request, check Check) *Result {
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

// RunOpen runs an open loop until ctx ends: it starts rate requests a second without waiting for earlier ones. next returns
// the n-th request. RunOpen waits for the requests that are in flight when ctx ends.
func RunOpen(ctx context.Context, rate float64, next func(n int) Request, check Check) *Result {
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

// requestTimeout is the timeout of one request of a run.
const requestTimeout = 60 * time.Second

// run sends one request and checks its answer if it is complete.
func (c *Client) run(a Request, check Check) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	o := Outcome{Ask: a, Start: time.Now()}
	o.Reply, o.Err = c.Stream(ctx, a)
	if o.Err == nil && o.Reply.Complete() {
		o.Wrong = !check(a, o.Reply)
	}
	return o
}
