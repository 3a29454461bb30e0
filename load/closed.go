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
	At    time.Time
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

// Tally counts the outcomes by what became of them.
type Tally struct {
	Asked   int
	Whole   int
	Refused int
	// Lost counts answers that were cut, and requests that got no answer.
	Lost int
	// Wrong counts whole answers that differ from the computed ones.
	Wrong  int
	Tokens int
	First  []time.Duration
	Gaps   []time.Duration
	// Reasons counts refusals by reason.
	Reasons map[models.Reason]int
}

// Tally adds the outcomes up.
func (r *Result) Tally() Tally {
	t := Tally{Reasons: map[models.Reason]int{}}
	for _, o := range r.Outcomes() {
		t.add(o)
	}
	return t
}

func (t *Tally) add(o Outcome) {
	t.Asked++
	if o.Reply != nil {
		t.Tokens += o.Reply.Pieces
		t.Gaps = append(t.Gaps, o.Reply.Gaps...)
		if o.Reply.Pieces > 0 {
			t.First = append(t.First, o.Reply.First)
		}
		if o.Reply.Reason != "" {
			t.Reasons[o.Reply.Reason]++
		}
	}
	switch {
	case o.Err == nil && o.Reply.Whole() && o.Wrong:
		t.Wrong++
	case o.Err == nil && o.Reply.Whole():
		t.Whole++
	case o.Err == nil && o.Reply.Pieces == 0 && o.Reply.Fate == models.FateNotRun:
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
	var all sync.WaitGroup
	for range workers {
		all.Go(func() {
			for n := range numbers {
				result.Add(client.one(next(n), check))
			}
		})
	}
	all.Wait()
	return result
}

// RunOpen starts rate requests a second until ctx ends, whatever becomes of the earlier ones, and waits for the last.
func RunOpen(ctx context.Context, rate float64, next func(n int) Ask, check Check) *Result {
	result := &Result{}
	client := NewClient()
	start := time.Now()
	var all sync.WaitGroup
	for n := 0; ; n++ {
		due := start.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			all.Wait()
			return result
		}
		all.Go(func() { result.Add(client.one(next(n), check)) })
	}
}

// requestLimit bounds one request of a run.
const requestLimit = 60 * time.Second

func (c *Client) one(a Ask, check Check) Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	o := Outcome{Ask: a, At: time.Now()}
	o.Reply, o.Err = c.Stream(ctx, a)
	if o.Err == nil && o.Reply.Whole() {
		o.Wrong = !check(a, o.Reply)
	}
	return o
}
