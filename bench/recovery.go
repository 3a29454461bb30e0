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
	recoveryPeriod  = 1500 * time.Millisecond
	recoveryRevive  = 500 * time.Millisecond
	randomWorkers   = 72
	randomWindow    = 20 * time.Second
	randomTokens    = 24
	// noticeable is how many times the usual gap an answer must pause to count as hit by a fault.
	noticeable = 2
)

// Recovery measures how long answers pause when stages are killed or hang, and what becomes of requests under random
// faults behind fault proxies.
func Recovery(bin string, p *Printer) error {
	spec := poolSpec(3)
	spec.Proxied = true
	f, err := fleet.Start(spec, bin)
	if err != nil {
		return err
	}
	defer f.Stop()
	recoverFrom(f, p, "recovery", func(e *fleet.Engine) { e.Process.Kill() }, func(e *fleet.Engine) { _ = f.StartEngine(e) })
	recoverFrom(f, p, "recovery_hung",
		func(e *fleet.Engine) { _ = fleet.SetEngineFault(e, standin.EngineFault{Hung: true}) },
		func(e *fleet.Engine) { _ = fleet.SetEngineFault(e, standin.EngineFault{}) })
	if err := randomFaults(f, p); err != nil {
		return err
	}
	return entryKilled(f, p)
}

// recoverFrom breaks an engine now and then under steady load and prints how long the answers that it worked on paused.
func recoverFrom(f *fleet.Fleet, p *Printer, name string, breakIt, mend func(*fleet.Engine)) {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryPeriod*(recoveryFaults+1))
	defer cancel()
	var mu sync.Mutex
	var broken []time.Time
	go func() {
		for n := range recoveryFaults {
			time.Sleep(recoveryPeriod)
			victim := f.Engines()[n%len(f.Engines())]
			mu.Lock()
			broken = append(broken, time.Now())
			mu.Unlock()
			breakIt(victim)
			time.AfterFunc(recoveryRevive, func() { mend(victim) })
		}
	}()
	result := load.RunClosed(ctx, recoveryWorkers, asks(f, 2*answerTokens), checker(f.Spec()))
	mu.Lock()
	defer mu.Unlock()
	tally := result.Tally()
	usual := quantile(tally.Gaps, 0.5)
	pauses := pausesAt(result.Outcomes(), broken, noticeable*usual)
	stages := time.Duration(2)
	p.Figure(name+"_ms_p50", millis(quantile(pauses, 0.5)), "ms")
	p.Figure(name+"_ms_p99", millis(quantile(pauses, 0.99)), "ms")
	p.Figure(name+"_steps_p99", float64(quantile(pauses, 0.99))/float64(usual/stages), "steps")
	p.Figure(name+"_answers_hit", float64(len(pauses)), "count")
	printTally(p, name+"_", tally)
}

// pausesAt returns the gaps longer than least that span one of the moments.
func pausesAt(outcomes []load.Outcome, moments []time.Time, least time.Duration) []time.Duration {
	var out []time.Duration
	for _, o := range outcomes {
		if o.Reply == nil {
			continue
		}
		at := o.At.Add(o.Reply.First)
		for _, gap := range o.Reply.Gaps {
			end := at.Add(gap)
			for _, m := range moments {
				if gap > least && at.Before(m.Add(gap/2)) && end.After(m) {
					out = append(out, end.Sub(m))
					break
				}
			}
			at = end
		}
	}
	return out
}

// randomFaults brings faults about at random, one after the other and together, under load from many callers.
func randomFaults(f *fleet.Fleet, p *Printer) error {
	ctx, cancel := context.WithTimeout(context.Background(), randomWindow)
	defer cancel()
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		breakAtRandom(ctx, f)
	}()
	result := load.RunClosed(ctx, randomWorkers, asks(f, randomTokens), checker(f.Spec()))
	<-faultsDone
	tally := result.Tally()
	printTally(p, "random_", tally)
	p.Figure("lost", float64(tally.Lost), "count")
	p.Figure("crossed_or_doubled", float64(tally.Wrong), "count")
	lies, err := falseNotRun(f, result)
	p.Figure("false_not_run", float64(lies), "count")
	return err
}

// breakAtRandom repeats: an engine is killed, hangs, slows tenfold, or its link resets or delays, for a short while.
func breakAtRandom(ctx context.Context, f *fleet.Fleet) {
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

// falseNotRun counts the requests that were refused as not run although an engine has started them.
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
	lies := 0
	for _, o := range result.Outcomes() {
		if o.Reply != nil && o.Reply.Fate == models.FateNotRun && started[o.Reply.RequestID] {
			lies++
		}
	}
	return lies, nil
}

// entryKilled kills an instance under load and prints how long its callers wait for an answer from another one.
func entryKilled(f *fleet.Fleet, p *Printer) error {
	victim, other := f.Entries()[0], f.Entries()[1]
	victim.Process.Kill()
	start := time.Now()
	ask := asks(f, 4)(0)
	ask.Addr = other.Callers
	r, err := load.NewClient().Stream(context.Background(), ask)
	if err != nil {
		return err
	}
	p.Figure("entry_killed_first_token_ms", millis(r.First), "ms")
	p.Figure("entry_killed_answer_ms", millis(time.Since(start)), "ms")
	return nil
}
