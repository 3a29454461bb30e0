package forward

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"junctioncross/backend"
)

// planLag is the lag of reports in these tests.
const planLag = 200 * time.Millisecond

// planSim plays the streams that some instances have on one server, at the ticks of the watcher. The server is queried by each
// instance as its diagnoses decide; reports reach the other instances after a while if they share them.
type planSim struct {
	random    *rand.Rand
	instances int
	// share is true if the instances share reports, and always true means that each diagnosis queries the server, as the
	// reference.
	share, always bool
	// gap returns the time to the next event of a stream; dies is when the server terminates.
	gap  func(*rand.Rand) time.Duration
	dies time.Duration

	queries int
	// found is when each instance first queried the server after its death.
	found []time.Duration
}

// simViewer is one instance: its view of the server, its plan, the times of the latest and the next event of its stream, and whether
// it has queried the server after its death.
type simViewer struct {
	server         *backend.Server
	plan           *queryPlan
	lastAt, nextAt time.Duration
	diagnosed      time.Duration
	queried        time.Duration
	found          bool
}

// sharedAnswer is a report on its way to the other instances.
type sharedAnswer struct {
	from    int
	queried time.Duration
}

const (
	// simStall is the stall limit of the streams, and simShared the time that a report takes to the other instances.
	simStall  = 110 * time.Millisecond
	simShared = 400 * time.Millisecond
)

func (p *planSim) run(length time.Duration) {
	start := time.Unix(1000, 0)
	viewers := make([]*simViewer, p.instances)
	for i := range viewers {
		viewers[i] = &simViewer{
			server: backend.NewServer(backend.Entry{ID: "s"}), plan: newQueryPlan(),
			nextAt: p.gap(p.random), diagnosed: -time.Hour, queried: -time.Hour,
		}
	}
	var answers []sharedAnswer
	for at := time.Duration(0); at < length; at += watchPeriod {
		for i, v := range viewers {
			if p.share {
				applyAnswers(v.server, answers, i, at, start)
			}
			v.progress(p, at)
			if !v.found && v.diagnose(p, at, start) {
				answers = append(answers, sharedAnswer{from: i, queried: at})
			}
		}
	}
}

// applyAnswers applies the reports of other instances that arrive at a time.
func applyAnswers(s *backend.Server, answers []sharedAnswer, self int, at time.Duration, start time.Time) {
	for _, a := range answers {
		if a.from != self && a.queried+simShared <= at && a.queried+simShared > at-watchPeriod {
			s.ApplySharedReport(backend.SharedReport{ID: "s", Age: at - a.queried, FoundWell: at - a.queried, Total: 1, Pace: 4}, start.Add(at))
		}
	}
}

// progress delivers the events that are due.
func (v *simViewer) progress(p *planSim, at time.Duration) {
	for v.nextAt <= at && (p.dies == 0 || v.nextAt < p.dies) {
		if overdue := v.nextAt - v.lastAt - simStall; overdue > 0 && !p.always {
			v.plan.notePause([]*backend.Server{v.server}, overdue, time.Unix(1000, 0).Add(v.nextAt))
		}
		v.lastAt = v.nextAt
		v.nextAt += p.gap(p.random)
	}
}

// diagnose makes a diagnosis if one is due, and reports whether the server has answered a query.
func (v *simViewer) diagnose(p *planSim, at time.Duration, start time.Time) bool {
	now, overdue := start.Add(at), at-v.lastAt-simStall
	why := suspicion{stillSince: start.Add(v.lastAt), overdue: overdue, stallLimit: simStall}
	if overdue <= 0 {
		return false
	}
	since := at - v.diagnosed
	urgent := !p.always && since >= urgentPeriod && v.plan.urgent([]*backend.Server{v.server}, why, now)
	if since < diagnosePeriod && !urgent {
		return false
	}
	v.diagnosed = at
	if !p.always && v.plan.decide(v.server, why, planLag, now) != queryNow {
		return false
	}
	p.queries++
	v.server.NoteQuery(now)
	if p.dies > 0 && at >= p.dies {
		v.found = true
		p.found = append(p.found, at-p.dies)
		return false
	}
	v.server.NoteAnswer(now, now)
	v.server.SetPace(4, now)
	v.server.SetMemory(1, 10, 0, now)
	v.plan.noteWell(v.server, why, now)
	return true
}

// usualGap is the time between two events of a healthy server: a short one, and sometimes one that is longer than a stall.
func usualGap(r *rand.Rand) time.Duration {
	if r.Float64() < 0.003 {
		return 150 * time.Millisecond
	}
	return time.Duration(20+r.IntN(20)) * time.Millisecond
}

// slowGap is the time between two events of a server that is several times slower than usual.
func slowGap(r *rand.Rand) time.Duration { return time.Duration(100+r.IntN(300)) * time.Millisecond }

// timesToFind returns the sorted times from the death of a server to the first query after it, over many seeds.
func timesToFind(gap func(*rand.Rand) time.Duration, share, always bool) []time.Duration {
	var out []time.Duration
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 7))
		dies := 3*time.Second + time.Duration(random.Int64N(int64(time.Second)))
		p := &planSim{random: random, instances: 4, share: share, always: always, gap: gap, dies: dies}
		p.run(dies + 3*time.Second)
		out = append(out, p.found...)
	}
	slices.Sort(out)
	return out
}

func quantileOf(sorted []time.Duration, part float64) time.Duration {
	return sorted[int(part*float64(len(sorted)-1))]
}

// TestADeadServerIsFoundAsSoonAsWithoutAPlan kills a server whose streams run at their usual pace, with some events that
// come late. Streams are checked once in a watchPeriod, so times differ by one only beyond that. Reports are shared or not.
func TestADeadServerIsFoundAsSoonAsWithoutAPlan(t *testing.T) {
	for _, share := range []bool{false, true} {
		before, after := timesToFind(usualGap, share, true), timesToFind(usualGap, share, false)
		require.Len(t, after, len(before), "every instance finds it")
		t.Log("share", share, "before", quantileOf(before, 0.5), quantileOf(before, 0.99), "after", quantileOf(after, 0.5), quantileOf(after, 0.99))
		require.LessOrEqual(t, quantileOf(after, 0.5), quantileOf(before, 0.5)+watchPeriod)
		require.LessOrEqual(t, quantileOf(after, 0.99), quantileOf(before, 0.99)+watchPeriod)
	}
}

// TestASlowServerThatDiesIsFoundWithinHalfASecond kills a server that was slow for seconds before: its earlier answers and
// those of others must not hide its death.
func TestASlowServerThatDiesIsFoundWithinHalfASecond(t *testing.T) {
	for _, share := range []bool{false, true} {
		before, after := timesToFind(slowGap, share, true), timesToFind(slowGap, share, false)
		t.Log("share", share, "before", quantileOf(before, 0.5), quantileOf(before, 0.99), "after", quantileOf(after, 0.5), quantileOf(after, 0.99))
		require.LessOrEqual(t, quantileOf(after, 0.99), maxExplained)
	}
}

// TestSlowServersAreQueriedAQuarterAsOften lets the streams of 20 instances on one server be slow for 20 s.
func TestSlowServersAreQueriedAQuarterAsOften(t *testing.T) {
	queries := func(share, always bool) int {
		p := &planSim{random: rand.New(rand.NewPCG(1, 2)), instances: 20, share: share, always: always, gap: slowGap}
		p.run(20 * time.Second)
		return p.queries
	}
	t.Log("alone", queries(false, true), queries(false, false), "shared", queries(true, false))
	require.LessOrEqual(t, 4*queries(true, false), queries(true, true))
	require.LessOrEqual(t, 3*queries(false, false), queries(false, true))
}

// planCase is a server with streams that have been still for simStall and a little more.
func planCase() (*queryPlan, *backend.Server, suspicion, time.Time) {
	now := time.Unix(1000, 0)
	why := suspicion{stillSince: now.Add(-simStall - 40*time.Millisecond), overdue: 40 * time.Millisecond, stallLimit: simStall}
	return newQueryPlan(), backend.NewServer(backend.Entry{ID: "s"}), why, now
}

// TestAServerOfWhichEnoughIsKnownIsNotQueried gives a server the facts that save a query, one at a time.
func TestAServerOfWhichEnoughIsKnownIsNotQueried(t *testing.T) {
	p, s, why, now := planCase()
	require.Equal(t, queryNow, p.decide(s, why, planLag, now), "nothing is known")

	p, s, why, now = planCase()
	s.NoteQuery(now.Add(-50 * time.Millisecond))
	require.Equal(t, savedQueried, p.decide(s, why, planLag, now), "queried since the streams stand still")

	p, s, why, now = planCase()
	s.NoteQuery(now.Add(-140 * time.Millisecond))
	require.Equal(t, queryNow, p.decide(s, why, planLag, now), "queried before the streams stood still")

	p, s, why, now = planCase()
	s.SetMemory(1, 10, 0, now.Add(-50*time.Millisecond))
	require.Equal(t, savedReport, p.decide(s, why, planLag, now), "answered since the streams stand still")

	p, s, why, now = planCase()
	s.ApplySharedReport(backend.SharedReport{ID: "s", Age: 50 * time.Millisecond, Total: 1, Pace: 1}, now)
	require.Equal(t, queryNow, p.decide(s, why, planLag, now), "a shared report may be older than it seems")

	p, s, why, now = planCase()
	s.MarkEnded()
	require.Equal(t, savedEnded, p.decide(s, why, planLag, now))
}

// TestAServerFoundWellIsQueriedAgainAtOnce has something happen after a server was found well several times.
func TestAServerFoundWellIsQueriedAgainAtOnce(t *testing.T) {
	found := func() (*queryPlan, *backend.Server, suspicion, time.Time) {
		p, s, why, now := planCase()
		for range 4 {
			p.noteWell(s, why, now)
			now = now.Add(300 * time.Millisecond)
		}
		why.stillSince = now.Add(-simStall - 40*time.Millisecond)
		return p, s, why, now
	}
	p, s, why, now := found()
	require.Equal(t, savedWell, p.decide(s, why, planLag, now))
	require.Equal(t, queryNow, p.decide(s, why, planLag, now.Add(maxQueryPause)), "the pause is over")

	p, s, why, now = found()
	s.NoteRefused(now)
	require.Equal(t, queryNow, p.decide(s, why, planLag, now), "a refusal")

	p, s, why, now = found()
	s.ApplySharedReport(backend.SharedReport{ID: "s", Age: 50 * time.Millisecond, Silent: true}, now)
	require.Equal(t, queryNow, p.decide(s, why, planLag, now), "silent to another instance")

	p, s, why, now = found()
	why.overdue = 2*simStall + time.Millisecond
	now = now.Add(300 * time.Millisecond)
	require.Equal(t, queryNow, p.decide(s, why, planLag, now), "still for too long")
	require.True(t, p.urgent([]*backend.Server{s}, why, now))
}

// TestInstancesOfADomainQueryCrowdedServersTogether lets 30 instances have streams on one server that stall for a moment about once
// a second: each instance alone sees hardly two stalls in a row.
func TestInstancesOfADomainQueryCrowdedServersTogether(t *testing.T) {
	crowdedGap := func(r *rand.Rand) time.Duration {
		if r.Float64() < 0.03 {
			return time.Duration(120+r.IntN(200)) * time.Millisecond
		}
		return time.Duration(20+r.IntN(20)) * time.Millisecond
	}
	queries := func(share, always bool) int {
		p := &planSim{random: rand.New(rand.NewPCG(1, 2)), instances: 30, share: share, always: always, gap: crowdedGap}
		p.run(20 * time.Second)
		return p.queries
	}
	before, alone, shared := queries(true, true), queries(false, false), queries(true, false)
	t.Log("before", before, "alone", alone, "shared", shared)
	require.LessOrEqual(t, 2*shared, before)
}
