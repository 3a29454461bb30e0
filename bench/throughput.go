package bench

import (
	"context"
	"time"

	"junctioncross/fleet"
	"junctioncross/load"
	"junctioncross/models"
	"junctioncross/standin"
)

const (
	warmUpTime        = 3 * time.Second
	throughputWindow  = 12 * time.Second
	churnPeriod       = 5 * time.Second
	churnWindow       = 16 * time.Second
	saturatingCallers = 260
	answerTokens      = 40
)

// Throughput measures the delivered tokens a second as a ratio of the throughput bound of the engines: undisturbed, and
// while engines are killed and restarted or run slowly.
func Throughput(bin string, p *Printer) error {
	spec := poolSpec(3)
	f, err := fleet.Start(spec, bin)
	if err != nil {
		return err
	}
	defer f.Stop()
	bound := throughputBound(spec)
	p.Figure("bound_tokens_s", bound, "tokens/s")
	before, err := sampleControl(f)
	if err != nil {
		return err
	}
	rate, summary := measureSaturated(p, f, throughputWindow, nil)
	after, err := sampleControl(f)
	if err != nil {
		return err
	}
	p.Figure("tokens_s", rate, "tokens/s")
	p.Figure("throughput_ratio", rate/bound, "ratio")
	cores := (after.cpu - before.cpu).Seconds()
	p.Figure("tokens_per_core_s", float64(summary.Tokens)/cores, "tokens/core-s")
	p.Figure("gap_ms_p95", millis(quantile(summary.Gaps, 0.95)), "ms")
	p.Figure("first_ms_p50", millis(quantile(summary.FirstTokenTimes, 0.5)), "ms")
	printSummary(p, "saturated_", summary)
	if err := printEngines(f, p); err != nil {
		return err
	}
	rate, summary = measureSaturated(p, f, churnWindow, churn)
	p.Figure("throughput_ratio_churn", rate/bound, "ratio")
	printSummary(p, "churn_", summary)
	return printRetries(f, p)
}

// printRetries prints the number of the instances' retries by reason.
func printRetries(f *fleet.Fleet, p *Printer) error {
	for _, reason := range []models.Reason{models.RetryUnreachable, models.RetryTimeout, models.RetryRefused, models.RetryOutOfOrder, models.RetrySlow} {
		total := int64(0)
		for _, e := range f.Entries() {
			n, err := fleet.Metric(e.Health, `jx_retries_total{reason="`+string(reason)+`"}`)
			if err == nil {
				total += n
			}
		}
		p.Figure("retries_"+string(reason), float64(total), "count")
	}
	return nil
}

// printEngines prints, for each engine, the share of the run in which it was busy and the mean number of sequences in a batch.
func printEngines(f *fleet.Fleet, p *Printer) error {
	for _, e := range f.Engines() {
		t, err := fleet.EngineTally(e)
		if err != nil {
			return err
		}
		r, err := fleet.EngineReport(e.Addr)
		if err != nil {
			return err
		}
		busy := float64(t.BusyMicros) / float64((warmUpTime + throughputWindow).Microseconds())
		p.Note("engine %s layers %s busy %.2f batch %.1f", e.Name, r.Layers, busy, float64(t.Sequences)/float64(max(t.Steps, 1)))
	}
	return nil
}

// measureSaturated keeps more requests in flight than the engines can batch and returns the tokens a second within the
// window, which begins after warmUpTime. disturb, if not nil, runs meanwhile.
func measureSaturated(p *Printer, f *fleet.Fleet, window time.Duration, disturb func(ctx context.Context, f *fleet.Fleet)) (float64, load.Summary) {
	ctx, cancel := context.WithTimeout(context.Background(), warmUpTime+window)
	defer cancel()
	var meter tokenMeter
	next := requests(f, answerTokens)
	start := time.Now().Add(warmUpTime)
	if disturb != nil {
		go disturb(ctx, f)
	}
	result := load.RunClosed(ctx, saturatingCallers, func(n int) load.Request {
		a := next(n)
		a.OnToken = func(int) { meter.count(start, window) }
		return a
	}, answerCheck(f.Spec()))
	p.Note("tokens in each second %v", meter.perSecond(window))
	return meter.rate(window), result.Summarize()
}

// churn disturbs one engine after the other until ctx ends. Alternately it kills one and restarts it after half of
// churnPeriod, or makes one run ten times slower for as long.
func churn(ctx context.Context, f *fleet.Fleet) {
	engines := f.Engines()
	for n := 0; ; n++ {
		select {
		case <-time.After(churnPeriod):
		case <-ctx.Done():
			return
		}
		victim := engines[(2*n+1)%len(engines)]
		switch n % 2 {
		case 0:
			victim.Process.Kill()
			time.AfterFunc(churnPeriod/2, func() { _ = f.StartEngine(victim) })
		default:
			_ = fleet.SetEngineFault(victim, standin.EngineFault{Slow: 10})
			time.AfterFunc(churnPeriod/2, func() { _ = fleet.SetEngineFault(victim, standin.EngineFault{}) })
		}
	}
}
