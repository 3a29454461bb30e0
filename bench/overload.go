package bench

import (
	"context"
	"math"
	"time"

	"junctioncross/fleet"
	"junctioncross/load"
)

const (
	timeBefore           = 8 * time.Second
	timeOverloaded       = 14 * time.Second
	timeAfter            = 10 * time.Second
	overloadAnswerTokens = 20
	// normalLoadRatio is the normal load as a share of the throughput bound. The overload is overloadFactor times that load.
	normalLoadRatio = 0.8
	overloadFactor  = 3
	// heavyAccountFactor is the number of requests of the first account for each request of another account.
	heavyAccountFactor = 10
	// queueFillTime is how long the queues take to fill. Shares are compared among the requests that start after it.
	queueFillTime = 2 * time.Second
	// returnRatio is the share of the goodput before the overload at which goodput counts as back to normal.
	returnRatio = 0.95
)

// Overload measures goodput and the accounts' shares under three times the normal load, of which one account offers ten
// times as much as each of the others, and how soon goodput is back to normal afterwards.
func Overload(bin string, p *Printer) error {
	spec := poolSpec(3)
	spec.QueueWait = 500 * time.Millisecond
	f, err := fleet.Start(spec, bin)
	if err != nil {
		return err
	}
	defer f.Stop()
	rate := throughputBound(spec) * normalLoadRatio / overloadAnswerTokens
	p.Figure("offered_requests_s", rate, "requests/s")
	b := &overloadBench{fleet: f, printer: p}
	before := b.run("before", rate, timeBefore)
	during := b.run("during", overloadFactor*rate, timeOverloaded)
	after := b.run("after", rate, timeAfter)
	normal := goodput(before, timeBefore)
	p.Figure("goodput_tokens_s", normal, "tokens/s")
	p.Figure("goodput_ratio_3x", goodput(during, timeOverloaded)/normal, "ratio")
	p.Figure("goodput_return_s", returnTime(after, normal), "s")
	p.Figure("share_error_max", shareError(afterQueueFill(during)), "ratio")
	printShares(p, during)
	return nil
}

// overloadBench holds the state of one Overload run.
type overloadBench struct {
	fleet   *fleet.Fleet
	printer *Printer
}

// run offers rate requests a second for the window. The first account sends heavyAccountFactor times as many as each other
// account.
func (b *overloadBench) run(name string, rate float64, window time.Duration) []load.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), window)
	defer cancel()
	accounts := b.fleet.Spec().Accounts
	next := requests(b.fleet, overloadAnswerTokens)
	result := load.RunOpen(ctx, rate, func(n int) load.Request {
		a := next(n)
		part := n % (heavyAccountFactor + len(accounts) - 1)
		a.Key = accounts[max(part-heavyAccountFactor+1, 0)].Key
		return a
	}, answerCheck(b.fleet.Spec()))
	summary := result.Summarize()
	printSummary(b.printer, name+"_", summary)
	b.printer.Figure(name+"_first_ms_p95", millis(quantile(summary.FirstTokenTimes, 0.95)), "ms")
	return result.Outcomes()
}

// goodput returns the tokens a second of complete and correct answers to the requests that started within the window.
func goodput(outcomes []load.Outcome, window time.Duration) float64 {
	tokens := 0
	for _, o := range outcomes {
		if correct(o) {
			tokens += o.Reply.Tokens
		}
	}
	return float64(tokens) / window.Seconds()
}

// correct reports whether the answer is complete and as expected.
func correct(o load.Outcome) bool { return o.Err == nil && o.Reply.Complete() && !o.Wrong }

// returnTime returns, in seconds after the overload, the end of the first second whose goodput reached returnRatio of the
// normal goodput. It returns NaN if none did.
func returnTime(outcomes []load.Outcome, normal float64) float64 {
	if len(outcomes) == 0 {
		return math.NaN()
	}
	start := firstStart(outcomes)
	perSecond := map[int]int{}
	for _, o := range outcomes {
		if correct(o) {
			perSecond[int(o.Start.Sub(start).Seconds())] += o.Reply.Tokens
		}
	}
	for s := range int(timeAfter.Seconds()) {
		if float64(perSecond[s]) >= returnRatio*normal {
			return float64(s + 1)
		}
	}
	return math.NaN()
}

// firstStart returns when the first of the requests started. There must be at least one.
func firstStart(outcomes []load.Outcome) time.Time {
	first := outcomes[0].Start
	for _, o := range outcomes {
		if o.Start.Before(first) {
			first = o.Start
		}
	}
	return first
}

// afterQueueFill returns the outcomes of the requests that started after queueFillTime.
func afterQueueFill(outcomes []load.Outcome) []load.Outcome {
	first := firstStart(outcomes)
	var out []load.Outcome
	for _, o := range outcomes {
		if o.Start.Sub(first) >= queueFillTime {
			out = append(out, o)
		}
	}
	return out
}

// printShares prints the outcomes of each account's requests.
func printShares(p *Printer, outcomes []load.Outcome) {
	byKey := map[string]*load.Result{}
	for _, o := range outcomes {
		if byKey[o.Ask.Key] == nil {
			byKey[o.Ask.Key] = &load.Result{}
		}
		byKey[o.Ask.Key].Add(o)
	}
	for key, r := range byKey {
		t := r.Summarize()
		p.Note("account %s asked %d whole %d refused %d first p50 %.0f ms", key, t.Requests, t.Complete, t.Refused, millis(quantile(t.FirstTokenTimes, 0.5)))
	}
}

// shareError returns the largest difference between an account's share of the delivered tokens and an equal share. Every
// account is entitled to an equal share, since each one requests more than that.
func shareError(outcomes []load.Outcome) float64 {
	byKey := map[string]float64{}
	total := 0.0
	for _, o := range outcomes {
		byKey[o.Ask.Key] += 0
		if o.Reply != nil {
			byKey[o.Ask.Key] += float64(o.Reply.Tokens)
			total += float64(o.Reply.Tokens)
		}
	}
	worst := 0.0
	for _, tokens := range byKey {
		worst = max(worst, math.Abs(tokens/total-1/float64(len(byKey))))
	}
	return worst
}
