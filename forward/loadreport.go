package forward

import (
	"context"
	"math"
	"time"

	"junctioncross/decision"
	"junctioncross/demand"
)

const (
	// loadReportPeriod is how often the instance updates its own load reports.
	loadReportPeriod = 200 * time.Millisecond
	// maxReturnTime is longer than any time after which a refused caller returns.
	maxReturnTime = 24 * time.Hour
)

// loadReporter keeps the own load reports up to date, and notes for which services the totals of the domain are known.
type loadReporter struct {
	h *Handler
	// known holds the services for which the totals were known at the last tick.
	known map[string]bool
}

// startLoadReports reports the load of the instance until ctx ends. Without a book, load is not reported.
func startLoadReports(ctx context.Context, h *Handler) {
	if h.loads == nil {
		return
	}
	l := &loadReporter{h: h, known: map[string]bool{}}
	ticks := h.clock.Subscribe(loadReportPeriod)
	go func() { h.guard.OnTicks(ctx, partName, ticks, func() { l.report(h.clock.Now()) }) }()
}

// report updates the own reports of all chained services.
func (l *loadReporter) report(now time.Time) {
	snapshot := l.h.fleetView.Current()
	if snapshot.Catalog() == nil {
		return
	}
	var names []string
	var reports []demand.Report
	for name, group := range snapshot.Groups() {
		if group.Graph() != nil {
			names = append(names, name)
			reports = append(reports, l.h.loadReport(name, now))
		}
	}
	l.h.loads.SetServices(names)
	for _, reason := range l.h.loads.SetOwn(l.h.settings.Load().Instance, reports, now) {
		l.h.stats.Counter(reason.Counter()).Inc(1)
	}
	l.noteKnown(names, now)
	l.h.outOfUse.note(snapshot, l.h.instances.Instances(), now)
}

// noteKnown logs for which services the totals have become known, or are not known any more.
func (l *loadReporter) noteKnown(names []string, now time.Time) {
	known := make(map[string]bool, len(names))
	for _, name := range names {
		totals, ok := l.h.domainTotals(name, now)
		known[name] = ok
		if ok == l.known[name] {
			continue
		}
		if ok {
			l.h.record.Routine("", "domain load known", decision.Fields{
				"service": name, "instances": totals.Instances, "age_ms": totals.Age.Milliseconds(),
			})
			continue
		}
		l.h.stats.Counter("domain_load_lost_total").Inc(1)
		l.h.record.Failure("", "domain load unknown", decision.Fields{"service": name})
	}
	l.known = known
}

// loadReport returns the load of this instance on a service.
func (h *Handler) loadReport(name string, now time.Time) demand.Report {
	// A search for lanes takes milliseconds where there are many servers; requests and readiness checks make one often enough.
	own, _, _ := h.sequences(h.laneCacheOf(name).latest())
	r := h.queueOf(name).loadReport(now, h.watch.stalled)
	r.Service, r.Room = name, float64(own)
	return r
}

// loadReport returns the load on the service of the queue as far as the queue knows it.
func (q *queue) loadReport(now time.Time, stalled func(*inflight) bool) demand.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.forecastLocked(now, stalled)
	r := demand.Report{
		UnderWay: len(q.underWay), Waiting: len(q.waiting), Lifetime: q.lifetimes.mean(), Classes: q.classes.rates(now),
		ToldToReturn: q.dueRetriesLocked(now, now.Add(maxReturnTime)), ToldRate: q.told.perSecond(now),
	}
	for i, within := range demand.Horizons {
		r.Ends[i] = c.expectedEnds(within)
	}
	return r
}

// totals returns the totals of the own failure domain on a service; it returns false if they are unknown or too old.
func (h *Handler) totals(service string, now time.Time) (demand.Totals, bool) {
	if h.loads == nil {
		return demand.Totals{}, false
	}
	return h.loads.Totals(service, h.settings.Load().Domain, now)
}

// domainTotals returns the totals of the own domain if they tell more than the own streams do.
func (h *Handler) domainTotals(service string, now time.Time) (demand.Totals, bool) {
	totals, ok := h.totals(service, now)
	return totals, ok && totals.Instances > 1
}

// measureDomain exports the totals of the own domain on a service; all are 0 while they are unknown.
func (h *Handler) measureDomain(name string, now time.Time) {
	totals, _ := h.totals(name, now)
	refused := 0.0
	for i := range totals.Classes {
		refused += totals.Classes[i].Refused
	}
	h.gauge("domain_instances_reporting", "service", name, int64(totals.Instances))
	h.gauge("domain_load_age_ms", "service", name, totals.Age.Milliseconds())
	h.gauge("domain_streams_under_way", "service", name, int64(totals.UnderWay))
	h.gauge("domain_streams_waiting", "service", name, int64(totals.Waiting))
	h.gauge("domain_told_to_come_back", "service", name, int64(totals.ToldToReturn))
	h.gauge("domain_room", "service", name, int64(math.Round(totals.Room)))
	h.gauge("domain_refused_per_s", "service", name, int64(math.Round(refused)))
}
