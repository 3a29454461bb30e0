package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"junctioncross/fault"
	"junctioncross/fleet"
	"junctioncross/load"
	"junctioncross/models"
	"junctioncross/standin"
)

const (
	recoveryWorkers = 24
	recoveryFaults  = 6
	faultInterval   = 1500 * time.Millisecond
	faultDuration   = 500 * time.Millisecond
	randomWorkers   = 72
	randomWindow    = 20 * time.Second
	randomTokens    = 24
	// minPauseFactor is the multiple of the median gap between tokens that a pause must exceed for the answer to count as
	// hit by a fault.
	minPauseFactor = 2
)

// Recovery measures how long answers pause when the engine of a stage is killed or hangs, what becomes of requests under
// random faults of engines and their links, and how fast another instance answers after one was killed.
func Recovery(bin string, p *Printer) error {
	spec := poolSpec(3)
	spec.Proxied = true
	f, err := fleet.Start(spec, bin)
	if err != nil {
		return err
	}
	defer f.Stop()
	measureRecovery(f, p, "recovery", func(e *fleet.Engine) { e.Process.Kill() }, func(e *fleet.Engine) { _ = f.StartEngine(e) })
	measureRecovery(f, p, "recovery_hung",
		func(e *fleet.Engine) { _ = fleet.SetEngineFault(e, standin.EngineFault{Hung: true}) },
		func(e *fleet.Engine) { _ = fleet.SetEngineFault(e, standin.EngineFault{}) })
	if err := measureRandomFaults(f, p); err != nil {
		return err
	}
	return measureEntryKill(f, p)
}

// measureRecovery injects a fault into one engine after the other under steady load, heals each after faultDuration, and
// prints how long the answers that the engine worked on paused.
func measureRecovery(f *fleet.Fleet, p *Printer, name string, inject, heal func(*fleet.Engine)) {
	ctx, cancel := context.WithTimeout(context.Background(), faultInterval*(recoveryFaults+1))
	defer cancel()
	var mu sync.Mutex
	var faultTimes []time.Time
	go func() {
		for n := range recoveryFaults {
			time.Sleep(faultInterval)
			victim := f.Engines()[n%len(f.Engines())]
			mu.Lock()
			faultTimes = append(faultTimes, time.Now())
			mu.Unlock()
			inject(victim)
			time.AfterFunc(faultDuration, func() { heal(victim) })
		}
	}()
	result := load.RunClosed(ctx, recoveryWorkers, requests(f, 2*answerTokens), answerCheck(f.Spec()))
	mu.Lock()
	defer mu.Unlock()
	summary := result.Summarize()
	usualGap := quantile(summary.Gaps, 0.5)
	pauses := pausesAt(result.Outcomes(), faultTimes, minPauseFactor*usualGap)
	stageCount := time.Duration(2)
	p.Figure(name+"_ms_p50", millis(quantile(pauses, 0.5)), "ms")
	p.Figure(name+"_ms_p99", millis(quantile(pauses, 0.99)), "ms")
	p.Figure(name+"_steps_p99", float64(quantile(pauses, 0.99))/float64(usualGap/stageCount), "steps")
	p.Figure(name+"_answers_hit", float64(len(pauses)), "count")
	printSummary(p, name+"_", summary)
}

// pausesAt returns the time from a fault to the next token for each gap between tokens that is longer than minGap and spans
// a fault.
func pausesAt(outcomes []load.Outcome, faultTimes []time.Time, minGap time.Duration) []time.Duration {
	var out []time.Duration
	for _, o := range outcomes {
		if o.Reply == nil {
			continue
		}
		at := o.Start.Add(o.Reply.FirstTokenTime)
		for _, gap := range o.Reply.Gaps {
			end := at.Add(gap)
			for _, m := range faultTimes {
				if gap > minGap && at.Before(m.Add(gap/2)) && end.After(m) {
					out = append(out, end.Sub(m))
					break
				}
			}
			at = end
		}
	}
	return out
}

// measureRandomFaults injects random faults, one after the other, under load from many callers and prints the outcomes of
// the requests.
func measureRandomFaults(f *fleet.Fleet, p *Printer) error {
	ctx, cancel := context.WithTimeout(context.Background(), randomWindow)
	defer cancel()
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		injectRandomFaults(ctx, f)
	}()
	result := load.RunClosed(ctx, randomWorkers, requests(f, randomTokens), answerCheck(f.Spec()))
	<-faultsDone
	summary := result.Summarize()
	printSummary(p, "random_", summary)
	p.Figure("lost", float64(summary.Lost), "count")
	p.Figure("crossed_or_doubled", float64(summary.Wrong), "count")
	falseCount, err := falseNotRun(f, result)
	p.Figure("false_not_run", float64(falseCount), "count")
	return err
}

// injectRandomFaults injects faults until ctx ends, each into a random engine for a short time: the engine is killed, hangs
// or runs ten times slower, or its link resets connections or adds latency.
func injectRandomFaults(ctx context.Context, f *fleet.Fleet) {
	random := rand.New(rand.NewPCG(1, 2))
	const pause = 300 * time.Millisecond
	for ctx.Err() == nil {
		e := f.Engines()[random.IntN(len(f.Engines()))]
		proxy := f.Proxies().Engine(e.Name)
		switch random.IntN(5) {
		case 0:
			e.Process.Kill()
			time.Sleep(pause)
			_ = f.StartEngine(e)
		case 1:
			_ = fleet.SetEngineFault(e, standin.EngineFault{Hung: true})
			time.Sleep(pause)
			_ = fleet.SetEngineFault(e, standin.EngineFault{})
		case 2:
			_ = fleet.SetEngineFault(e, standin.EngineFault{Slow: 10})
			time.Sleep(pause)
			_ = fleet.SetEngineFault(e, standin.EngineFault{})
		case 3:
			_ = proxy.Add(fault.Reset(0.5, 2000))
			time.Sleep(pause)
			_ = proxy.Remove("reset")
		default:
			_ = proxy.Add(fault.Latency(30, 20))
			time.Sleep(pause)
			_ = proxy.Remove("latency")
		}
	}
}

// falseNotRun counts the requests that were refused as not run although an engine had started them.
func falseNotRun(f *fleet.Fleet, result *load.Result) (int, error) {
	started := map[string]bool{}
	for _, e := range f.Engines() {
		err := fleet.Eventually(5*time.Second, func() error {
			t, err := fleet.EngineTally(e)
			for id := range t.Requests {
				started[id] = true
			}
			return err
		})
		if err != nil {
			return 0, err
		}
	}
	count := 0
	for _, o := range result.Outcomes() {
		if o.Reply != nil && o.Reply.Fate == models.FateNotRun && started[o.Reply.RequestID] {
			count++
		}
	}
	return count, nil
}

// measureEntryKill kills an instance of the fleet, which is idle by then, and prints how long a caller waits for an answer
// from another instance.
func measureEntryKill(f *fleet.Fleet, p *Printer) error {
	victim, other := f.Entries()[0], f.Entries()[1]
	victim.Process.Kill()
	start := time.Now()
	ask := requests(f, 4)(0)
	ask.Addr = other.Callers
	r, err := load.NewClient().Stream(context.Background(), ask)
	if err != nil {
		return err
	}
	p.Figure("entry_killed_first_token_ms", millis(r.FirstTokenTime), "ms")
	p.Figure("entry_killed_answer_ms", millis(time.Since(start)), "ms")
	return nil
}
