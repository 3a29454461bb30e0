package loadview

import (
	"cmp"
	"slices"
)

// Fleet is what several instances show together.
type Fleet struct {
	// Asked and Answered are the numbers of addresses that were asked and that gave a page.
	Asked    int             `json:"asked"`
	Answered int             `json:"answered"`
	Failed   []Failure       `json:"failed"`
	Services []MergedService `json:"services"`
	Findings []Finding       `json:"findings"`
}

// Failure is an instance that gave no page.
type Failure struct {
	Address string `json:"address"`
	Error   string `json:"error"`
}

// MergedService is the load on one service as several instances show it.
type MergedService struct {
	Service string `json:"service"`
	// Domains have the newest totals that an instance knows, and Instances what each one says of itself; OutOfUse are the servers
	// that get no new work of some instance.
	Domains   []Domain       `json:"domains"`
	Instances []InstancePart `json:"instances"`
	OutOfUse  []SeenServer   `json:"out_of_use"`
}

// InstancePart is what an instance says of itself.
type InstancePart struct {
	Instance  string    `json:"instance"`
	Domain    string    `json:"domain"`
	Own       Own       `json:"own"`
	Admission Admission `json:"admission"`
	Retries   Retries   `json:"retries"`
	Lanes     Lanes     `json:"lanes"`
}

// SeenServer is a server that gets no new work of some instances.
type SeenServer struct {
	Server
	// SeenBy names these instances.
	SeenBy []string `json:"seen_by"`
}

// Merge returns what the pages show together; those of an instance that is there twice count once.
func Merge(pages []Page, failed []Failure) Fleet {
	f := Fleet{
		Asked: len(pages) + len(failed), Answered: len(pages), Failed: append([]Failure{}, failed...), Services: []MergedService{},
		Findings: []Finding{},
	}
	seen := map[string]bool{}
	for i := range pages {
		p := &pages[i]
		if seen[p.Instance] {
			continue
		}
		seen[p.Instance] = true
		for j := range p.Services {
			f.service(p.Services[j].Service).add(p, &p.Services[j])
		}
		for _, finding := range p.Findings {
			f.addFinding(finding)
		}
	}
	slices.SortFunc(f.Services, func(a, b MergedService) int { return cmp.Compare(a.Service, b.Service) })
	for i := range f.Services {
		f.Services[i].sort()
	}
	slices.SortFunc(f.Findings, compareFindings)
	return f
}

// Only returns what is about one service, with the findings that name no service.
func (f *Fleet) Only(service string) Fleet {
	out := *f
	out.Services = slices.DeleteFunc(slices.Clone(f.Services), func(s MergedService) bool { return s.Service != service })
	out.Findings = slices.DeleteFunc(slices.Clone(f.Findings), func(finding Finding) bool {
		return finding.Service != "" && finding.Service != service
	})
	return out
}

// service returns the load on the service with a name, which it adds if it is missing.
func (f *Fleet) service(name string) *MergedService {
	for i := range f.Services {
		if f.Services[i].Service == name {
			return &f.Services[i]
		}
	}
	f.Services = append(f.Services, MergedService{Service: name})
	return &f.Services[len(f.Services)-1]
}

// addFinding adds a finding, or keeps the newer of two that say the same.
func (f *Fleet) addFinding(finding Finding) {
	for i := range f.Findings {
		have := &f.Findings[i]
		if have.Server == finding.Server && have.Kind == finding.Kind && have.Source == finding.Source && have.Service == finding.Service {
			have.AgeMS = min(have.AgeMS, finding.AgeMS)
			return
		}
	}
	f.Findings = append(f.Findings, finding)
}

func compareFindings(a, b Finding) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Source, b.Source),
	)
}

// add adds what a page says of the service.
func (m *MergedService) add(p *Page, s *Service) {
	m.Instances = append(m.Instances, InstancePart{
		Instance: p.Instance, Domain: p.Domain, Own: s.Own, Admission: s.Admission, Retries: s.Retries, Lanes: s.Lanes,
	})
	for i := range s.Domains {
		m.addDomain(&s.Domains[i])
	}
	for i := range s.OutOfUse {
		m.addServer(&s.OutOfUse[i], p.Instance)
	}
}

// addDomain adds a domain, or merges it with the one of that name: the newer totals are kept, with the levels of either, since
// only instances of the domain know these, and the coverage with fewer usable servers.
func (m *MergedService) addDomain(d *Domain) {
	for i := range m.Domains {
		have := &m.Domains[i]
		if have.Domain != d.Domain {
			continue
		}
		coverage := have.Coverage
		if d.Coverage.Usable < coverage.Usable {
			coverage = d.Coverage
		}
		first, second := *have, *d
		if newer(d, have) {
			first, second = *d, *have
		}
		*have = first
		have.Classes, have.Coverage = withLevels(first.Classes, second.Classes), coverage
		return
	}
	m.Domains = append(m.Domains, *d)
}

// newer reports whether the totals of a are to be shown rather than those of b.
func newer(a, b *Domain) bool {
	if a.TotalsKnown != b.TotalsKnown {
		return a.TotalsKnown
	}
	return a.AgeMS < b.AgeMS || a.AgeMS == b.AgeMS && a.Instances > b.Instances
}

// withLevels returns classes with the levels of others where they have none.
func withLevels(classes, others []Class) []Class {
	out := slices.Clone(classes)
	for i := range out {
		for j := range others {
			if out[i].Level == nil && out[i].Rank == others[j].Rank && out[i].Account == others[j].Account {
				out[i].Level = others[j].Level
			}
		}
	}
	return out
}

// addServer adds that a server gets no new work of an instance. Instances that name the same reason share an entry, with the
// longest of their times.
func (m *MergedService) addServer(s *Server, instance string) {
	for i := range m.OutOfUse {
		have := &m.OutOfUse[i]
		if have.Server.Server == s.Server && have.Reason == s.Reason {
			have.SinceMS, have.LeftMS = max(have.SinceMS, s.SinceMS), max(have.LeftMS, s.LeftMS)
			if s.Silent == SilentOwn {
				have.Silent = SilentOwn
			}
			have.SeenBy = append(have.SeenBy, instance)
			return
		}
	}
	m.OutOfUse = append(m.OutOfUse, SeenServer{Server: *s, SeenBy: []string{instance}})
}

func (m *MergedService) sort() {
	slices.SortFunc(m.Domains, func(a, b Domain) int { return cmp.Compare(a.Domain, b.Domain) })
	slices.SortFunc(m.Instances, func(a, b InstancePart) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Instance, b.Instance))
	})
	slices.SortFunc(m.OutOfUse, func(a, b SeenServer) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Server.Server, b.Server.Server), cmp.Compare(a.Reason, b.Reason))
	})
}
