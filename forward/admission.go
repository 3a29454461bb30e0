package forward

import (
	"math"
	"math/rand/v2"
	"reflect"
	"sync"
	"time"

	"junctioncross/admission"
	"junctioncross/backend"
	"junctioncross/catalog"
	"junctioncross/demand"
	"junctioncross/loglimit"
	"junctioncross/models"
)

const (
	// totalsPeriod is how often new totals are taken in.
	totalsPeriod = 100 * time.Millisecond
	// levelLogStep is the change of a level that is logged.
	levelLogStep = 0.25
	// otherRanks is the label in metrics of the ranks beyond maxRankLabels.
	otherRanks = "other"
	// maxRankLabels bounds the ranks of a service that metrics tell apart.
	maxRankLabels = 64
)

// Loads knows the load on services from all instances.
type Loads interface {
	// Fleet returns the load on a service in all domains, since a stream may take room in another domain than its instance's, or
	// false if it is not known well enough.
	Fleet(service string, now time.Time) (demand.Totals, bool)
}

// noLoads knows no load.
type noLoads struct{}

func (noLoads) Fleet(string, time.Time) (demand.Totals, bool) {
	return demand.Totals{}, false
}

// admissions decides on requests for chained services, whose servers each run some of the layers, while their room is short.
type admissions struct {
	mu    sync.Mutex
	loads Loads
	// catalog and settings are those from which services was computed.
	catalog  *catalog.Catalog
	settings *Settings
	services map[string]*serviceAdmission
	levelLog loglimit.Limiter
}

// serviceAdmission is the admission to one service; the lock of the admissions guards it.
type serviceAdmission struct {
	plan       admissionPlan
	controller *admission.Controller
	// updated is when totals were last asked for, and known whether they were there.
	updated time.Time
	known   bool
	// levels are the levels now, and logged those of the latest log line.
	levels, logged []admission.Level
	// labels are the ranks that metrics name.
	labels map[demand.Rank]string
}

func newAdmissions() *admissions {
	return &admissions{loads: noLoads{}, services: map[string]*serviceAdmission{}}
}

// setLoads replaces the source of the load on services; before, none is known, and nothing is refused for its rank.
func (h *Handler) setLoads(loads Loads) {
	h.admissions.mu.Lock()
	defer h.admissions.mu.Unlock()
	h.admissions.loads = loads
}

// admit decides whether a new stream may look for room. It returns false, with the outcome, if the room is kept for others.
func (h *Handler) admit(f *inflight) (outcome, bool) {
	a, now := h.admissions, h.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	h.planAdmissionsLocked()
	name := f.r.group.Service().Name
	s := a.services[name]
	if s == nil {
		return nil, true
	}
	f.firstTriesFirst = s.plan.settings.Ranks && now.Before(f.r.x.Arrived().Add(f.r.route.Objective))
	if !s.plan.settings.Active() {
		return nil, true
	}
	h.updateAdmissionLocked(name, s, now)
	decided := s.controller.Decide(demand.Class{Rank: f.r.rank, Account: f.r.account}, f.try(), now)
	switch d := decided.(type) {
	case admission.Refused:
		h.stats.Counter(refusedCounter(name, s.label(d.Rank), d.Reason)).Inc(1)
		return notRun{reason: models.ReasonLowRank}, false
	default:
		return nil, true
	}
}

// try says which try of its caller a stream is.
func (f *inflight) try() admission.Try {
	switch {
	case f.r.meta.ResumeAfter != "" || f.r.x.Begun():
		return admission.Resumed
	case f.certainlyReturned:
		return admission.Returned
	default:
		return admission.FirstTry
	}
}

// updateAdmissionLocked takes in new totals, if it is time for them.
func (h *Handler) updateAdmissionLocked(service string, s *serviceAdmission, now time.Time) {
	if since := now.Sub(s.updated); since >= 0 && since < totalsPeriod {
		return
	}
	s.updated = now
	totals, known := h.admissions.loads.Fleet(service, now)
	switch {
	case !known:
		s.controller.Clear()
	case !s.controller.Update(&totals, now) && s.plan.settings.Active():
		h.stats.Counter("admission_totals_unusable_total").Inc(1)
	}
	if known != s.known {
		s.known = known
		h.logTotals(service, known)
	}
	s.levels = s.controller.AppendLevels(s.levels[:0])
	h.logLevelsLocked(service, s, now)
}

// planAdmissionsLocked computes what is in force again if the configuration or the settings have changed.
func (h *Handler) planAdmissionsLocked() {
	a, c, settings := h.admissions, h.fleetView.Current().Catalog(), h.settings.Load()
	if c == nil || c == a.catalog && settings == a.settings {
		return
	}
	a.catalog, a.settings = c, settings
	former := a.services
	a.services = map[string]*serviceAdmission{}
	for _, service := range c.Services() {
		if service.Engine == nil {
			continue
		}
		plan := planAdmission(c, service.Name, &settings.Admission)
		s := former[service.Name]
		if s == nil || !reflect.DeepEqual(s.plan.settings, plan.settings) {
			h.openLevels(service.Name, s)
			s = &serviceAdmission{controller: admission.New(plan.settings, rand.Float64), labels: map[demand.Rank]string{}}
		}
		s.plan = plan
		a.services[service.Name] = s
		h.logAdmission(service.Name, &plan, c.Version())
	}
	h.logUnusableParts(c, &settings.Admission)
}

// openLevels exports levels of 100 % for an admission to a service that is replaced by another one.
func (h *Handler) openLevels(service string, s *serviceAdmission) {
	if s == nil {
		return
	}
	for _, label := range s.labels {
		h.stats.Gauge(levelGauge(service, label)).Update(inPercent(1))
	}
}

// reviewAdmissions computes and logs what is in force, if it has changed, and exports the levels of the services.
func (h *Handler) reviewAdmissions(groups map[string]*backend.Group) {
	a := h.admissions
	a.mu.Lock()
	defer a.mu.Unlock()
	h.planAdmissionsLocked()
	for name, s := range a.services {
		if groups[name] == nil || !s.plan.settings.Active() {
			continue
		}
		h.updateAdmissionLocked(name, s, h.clock.Now())
		for rank, label := range s.labels {
			h.stats.Gauge(levelGauge(name, label)).Update(inPercent(s.levelOf(rank)))
		}
		for i := range s.levels {
			h.stats.Gauge(levelGauge(name, s.label(s.levels[i].Rank))).Update(inPercent(s.levels[i].First))
		}
	}
}

// levelOf returns the level of a rank, which is 1 if nothing is known of it.
func (s *serviceAdmission) levelOf(rank demand.Rank) float64 {
	for i := range s.levels {
		if s.levels[i].Rank == rank {
			return s.levels[i].First
		}
	}
	return 1
}

func inPercent(share float64) int64 { return int64(math.Round(percent * share)) }
