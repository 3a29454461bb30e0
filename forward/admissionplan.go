package forward

import (
	"fmt"
	"slices"
	"strings"

	"junctioncross/admission"
	"junctioncross/catalog"
)

// AdmissionSettings define which requests are refused first while the room of a chained service is short.
type AdmissionSettings struct {
	// Ranks turns on admission by rank, where routes or accounts have different priorities, and Accounts fair parts of accounts.
	Ranks, Accounts bool
	Parts           []AdmissionPart
}

// TellsAccounts reports whether requests are counted by account: where accounts get fair parts, or a part names an account.
func (s *AdmissionSettings) TellsAccounts() bool {
	return s.Accounts || slices.ContainsFunc(s.Parts, func(p AdmissionPart) bool { return p.Account != "" })
}

// AdmissionPart is an operator's request for a part of the room, for a route or an account.
type AdmissionPart struct {
	// Route or Account is the name; the other is empty.
	Route, Account string
	// Ceiling is the greatest part of the room, Guarantee the part that is given before others get any.
	Ceiling, Guarantee float64
	// Weight is the weight of an account; 0 means that none is named.
	Weight float64
}

// admissionPlan is what is in force for one service.
type admissionPlan struct {
	settings admission.Settings
	// ranksDiffer is true if requests for the service can have different ranks, and priorities lists where these come from.
	ranksDiffer bool
	priorities  string
}

// unusablePart is a request for a part of the room that the configuration in force cannot follow.
type unusablePart struct{ field, name, why string }

// planAdmission returns what is in force for a service under a configuration.
func planAdmission(c *catalog.Catalog, service string, s *AdmissionSettings) admissionPlan {
	routes := c.RoutesTo(service)
	p := admissionPlan{ranksDiffer: len(ranksOf(c, service)) > 1, priorities: prioritiesOf(c, routes)}
	p.settings = admission.Settings{Ranks: s.Ranks && p.ranksDiffer, Accounts: s.Accounts && c.NeedsKeys()}
	for i := range s.Parts {
		part := &s.Parts[i]
		if _, unusable := checkPart(c, i, part); unusable {
			continue
		}
		if part.Weight > 0 {
			if p.settings.Weights == nil {
				p.settings.Weights = map[string]float64{}
			}
			p.settings.Weights[part.Account] = part.Weight
		}
		resolved := admission.Part{Account: part.Account, Ceiling: part.Ceiling, Guarantee: part.Guarantee}
		if part.Route != "" {
			at := slices.IndexFunc(routes, func(r *catalog.Route) bool { return r.Name == part.Route })
			if at < 0 {
				continue
			}
			resolved.Route = routes[at].Priority
		}
		if part.Ceiling < 1 || part.Guarantee > 0 {
			p.settings.Parts = append(p.settings.Parts, resolved)
		}
	}
	return p
}

// checkPart reports whether the configuration cannot follow a request for a part of the room, and why.
func checkPart(c *catalog.Catalog, index int, p *AdmissionPart) (unusablePart, bool) {
	field := fmt.Sprintf("admission.parts[%d].", index)
	if p.Account != "" {
		if slices.ContainsFunc(c.Accounts(), func(a catalog.Account) bool { return a.Name == p.Account }) {
			return unusablePart{}, false
		}
		return unusablePart{field: field + "account", name: p.Account, why: "the configuration has no such account"}, true
	}
	named := slices.DeleteFunc(c.Routes(), func(r *catalog.Route) bool { return r.Name != p.Route })
	if len(named) == 0 {
		return unusablePart{field: field + "route", name: p.Route, why: "the configuration has no such route"}, true
	}
	for _, t := range named[0].Targets {
		for _, other := range c.RoutesTo(t.Service) {
			if other.Name != p.Route && other.Priority == named[0].Priority {
				why := "route " + other.Name + " of the same service has the same priority, so that they cannot be told apart"
				return unusablePart{field: field + "route", name: p.Route, why: why}, true
			}
		}
	}
	return unusablePart{}, false
}

// maxPriorityNames bounds the names in a log line.
const maxPriorityNames = 32

// prioritiesOf describes the priorities of the routes and of the accounts.
func prioritiesOf(c *catalog.Catalog, routes []*catalog.Route) string {
	var out []string
	for _, r := range routes {
		out = append(out, fmt.Sprintf("route %s: %d", r.Name, r.Priority))
	}
	accounts := c.Accounts()
	for i := range accounts {
		out = append(out, fmt.Sprintf("account %s: %d", accounts[i].Name, accounts[i].Priority))
	}
	if left := len(out) - maxPriorityNames; left > 0 {
		out = append(out[:maxPriorityNames], fmt.Sprintf("and %d more", left))
	}
	return strings.Join(out, ", ")
}
