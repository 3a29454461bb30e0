package forward

import (
	"fmt"
	"slices"

	"junctioncross/catalog"
	"junctioncross/loadview"
)

// admissionLoad returns what of the settings of admission is in force for a service and why, and what is admitted of its classes.
func (h *Handler) admissionLoad(service string) (loadview.Admission, classLevels) {
	a := h.admissions
	a.mu.Lock()
	defer a.mu.Unlock()
	out := loadview.Admission{Parts: []loadview.Part{}, Levels: []loadview.RankLevel{}}
	s := a.services[service]
	if s == nil {
		const unknown = "the configuration has no such service yet"
		out.Ranks.Why, out.Accounts.Why = unknown, unknown
		return out, classLevels{}
	}
	settings := &a.settings.Admission
	out.Ranks, out.Accounts = ranksInForce(settings, &s.plan), accountsInForce(settings, a.catalog)
	for i := range settings.Parts[:min(len(settings.Parts), loadview.MaxParts)] {
		out.Parts = append(out.Parts, partInForce(a.catalog, service, settings, i))
	}
	if !s.plan.settings.Active() {
		return out, classLevels{}
	}
	out.TotalsKnown = s.known
	for _, l := range s.levels[:min(len(s.levels), loadview.MaxClasses)] {
		out.Levels = append(out.Levels, loadview.RankLevel{
			Rank: loadRank(l.Rank), Level: loadview.Level{First: l.First, Returned: l.Returned},
		})
	}
	return out, classLevels{classOf: s.controller.Class, levels: s.controller.AppendClassLevels(nil)}
}

// ranksInForce says whether admission by rank is in force for the service of a plan.
func ranksInForce(s *AdmissionSettings, p *admissionPlan) loadview.Setting {
	switch {
	case !s.Ranks:
		return loadview.Setting{Why: "admission.ranks is off"}
	case !p.ranksDiffer:
		return loadview.Setting{Why: "all requests have the same rank: " + p.priorities}
	default:
		return loadview.Setting{InForce: true, Why: "requests have different ranks: " + p.priorities}
	}
}

// accountsInForce says whether accounts get fair parts.
func accountsInForce(s *AdmissionSettings, c *catalog.Catalog) loadview.Setting {
	switch {
	case !s.Accounts:
		return loadview.Setting{Why: "admission.accounts is off"}
	case !c.NeedsKeys():
		return loadview.Setting{Why: "the configuration has no accounts with keys"}
	default:
		return loadview.Setting{InForce: true, Why: "admission.accounts is on"}
	}
}

// partInForce returns a request for a part of the room, with whether it is in force for a service.
func partInForce(c *catalog.Catalog, service string, s *AdmissionSettings, index int) loadview.Part {
	p := &s.Parts[index]
	out := loadview.Part{
		Field: fmt.Sprintf("admission.parts[%d]", index), Route: p.Route, Account: p.Account,
		Ceiling: p.Ceiling, Guarantee: p.Guarantee, Weight: p.Weight,
	}
	out.Setting = partSetting(c, service, s, index)
	return out
}

// partSetting returns whether a request for a part of the room is in force for a service, and why.
func partSetting(c *catalog.Catalog, service string, s *AdmissionSettings, index int) loadview.Setting {
	p := &s.Parts[index]
	if bad, unusable := checkPart(c, index, p); unusable {
		return loadview.Setting{Why: bad.why}
	}
	named := func(r *catalog.Route) bool { return r.Name == p.Route }
	asksForRoom := p.Ceiling < 1 || p.Guarantee > 0
	switch {
	case p.Route != "" && !slices.ContainsFunc(c.RoutesTo(service), named):
		return loadview.Setting{Why: "the route does not lead to this service"}
	case p.Weight > 0 && !asksForRoom && !s.Accounts:
		return loadview.Setting{Why: "a weight has an effect with admission.accounts only, which is off"}
	case p.Weight > 0 && !asksForRoom && !c.NeedsKeys():
		return loadview.Setting{Why: "the configuration has no accounts with keys"}
	case !asksForRoom && p.Weight <= 0:
		return loadview.Setting{Why: "it asks for nothing: the ceiling is 1 and the guarantee 0"}
	default:
		return loadview.Setting{InForce: true, Why: "the configuration has what it names"}
	}
}
