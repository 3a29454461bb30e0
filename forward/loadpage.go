package forward

import (
	"slices"
	"time"

	"junctioncross/admission"
	"junctioncross/backend"
	"junctioncross/demand"
	"junctioncross/loadview"
)

// LoadPage returns what the instance knows of the load on its chained services, without findings.
func (h *Handler) LoadPage(now time.Time) loadview.Page {
	settings, snapshot := h.settings.Load(), h.fleetView.Current()
	page := loadview.Page{
		Instance: settings.Instance, Domain: settings.Domain, Services: []loadview.Service{}, Findings: []loadview.Finding{},
	}
	h.outOfUse.note(snapshot, h.instances.Instances(), now)
	h.reviewAdmissions(snapshot.Groups())
	names := []string{}
	for name, group := range snapshot.Groups() {
		if group.Graph() != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names[:min(len(names), loadview.MaxServices)] {
		page.Services = append(page.Services, h.serviceLoad(name, snapshot.Group(name), now))
	}
	return page
}

// serviceLoad returns the load on one service.
func (h *Handler) serviceLoad(name string, group *backend.Group, now time.Time) loadview.Service {
	lanes, left := h.lanesOf(group, now), h.allowance(name)
	own, others, crossing := h.sequences(lanes)
	report := h.queueOf(name).loadReport(now, h.watch.stalled)
	admitted, levels := h.admissionLoad(name)
	s := loadview.Service{
		Service: name,
		Own: loadview.Own{
			UnderWay: report.UnderWay, Waiting: report.Waiting, ToldToReturn: report.ToldToReturn, LifetimeMS: report.Lifetime.Milliseconds(),
		},
		Domains:   h.domainLoads(name, group, levels, now),
		Admission: admitted,
		Retries:   loadview.Retries{Left: left.Left, Requests: left.Requests, Fixed: left.Fixed},
		Lanes:     loadview.Lanes{Lanes: len(lanes), Own: own, Others: others, Crossing: crossing},
	}
	s.OutOfUse, s.OutOfUseCount = h.serversOutOfUse(group, now)
	return s
}

// domainLoads returns the load on a service in each failure domain that has servers of it or totals, and in the own one.
func (h *Handler) domainLoads(name string, group *backend.Group, levels classLevels, now time.Time) []loadview.Domain {
	domain := h.settings.Load().Domain
	names := []string{domain}
	for _, s := range group.Servers() {
		names = append(names, s.Domain())
	}
	totals := h.knownTotals(name, now)
	for i := range totals {
		names = append(names, totals[i].Domain)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	out := []loadview.Domain{}
	for _, d := range names[:min(len(names), loadview.MaxDomains)] {
		one := loadview.Domain{Domain: d, Classes: []loadview.Class{}, Coverage: coverageOf(group, d, now)}
		if i := slices.IndexFunc(totals, func(t demand.Totals) bool { return t.Domain == d }); i >= 0 {
			setTotals(&one, &totals[i])
		}
		if d == domain {
			levels.addTo(one.Classes)
		}
		out = append(out, one)
	}
	return out
}

// knownTotals returns the totals of all domains on a service.
func (h *Handler) knownTotals(name string, now time.Time) []demand.Totals {
	if h.loads == nil {
		return nil
	}
	return slices.DeleteFunc(h.loads.All(now), func(t demand.Totals) bool { return t.Service != name })
}

// setTotals sets the fields of a domain that come from its totals.
func setTotals(d *loadview.Domain, t *demand.Totals) {
	d.TotalsKnown, d.AgeMS, d.Instances = true, t.Age.Milliseconds(), t.Instances
	d.Room, d.UnderWay, d.Waiting = t.Room, t.UnderWay, t.Waiting
	d.ToldToReturn, d.LifetimeMS, d.ClassCount = t.ToldToReturn, t.Lifetime.Milliseconds(), len(t.Classes)
	for i := range t.Classes[:min(len(t.Classes), loadview.MaxClasses)] {
		r := &t.Classes[i]
		d.Classes = append(d.Classes, loadview.Class{
			Rank: loadRank(r.Class.Rank), Account: r.Class.Account, Offered: r.Offered, Refused: r.Refused, Returned: r.Returned,
		})
	}
}

// loadRank returns a rank as the page shows it.
func loadRank(r demand.Rank) loadview.Rank { return loadview.Rank{Account: r.Account, Route: r.Route} }

// classLevels are what is admitted of the classes of a service.
type classLevels struct {
	// classOf returns the class in which requests of a class are counted.
	classOf func(demand.Class) demand.Class
	levels  []admission.ClassLevel
}

// addTo sets the levels of classes that admission decides on.
func (c *classLevels) addTo(classes []loadview.Class) {
	if c.classOf == nil {
		return
	}
	for i := range classes {
		of := &classes[i]
		class := c.classOf(demand.Class{Rank: demand.Rank{Account: of.Rank.Account, Route: of.Rank.Route}, Account: of.Account})
		at := slices.IndexFunc(c.levels, func(l admission.ClassLevel) bool { return l.Class == class })
		if at >= 0 {
			l := &c.levels[at]
			of.Level = &loadview.Level{First: l.First, Returned: l.Returned, Ceiling: l.Ceiling}
		}
	}
}
