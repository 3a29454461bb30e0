package loadview

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// MaxPageBytes bounds a page that is read, in bytes.
const MaxPageBytes = 16 << 20

// ErrPage is the cause of the error for what is not a page.
var ErrPage = errors.New("loadview: not a page of load")

// Parse reads the JSON of a page. It returns an error for anything else, and for a page that exceeds its bounds.
func Parse(in io.Reader) (Page, error) {
	body, err := io.ReadAll(io.LimitReader(in, MaxPageBytes+1))
	if err != nil {
		return Page{}, errors.Wrap(err, "loadview: read page")
	}
	if len(body) > MaxPageBytes {
		return Page{}, errors.Wrap(ErrPage, "too long")
	}
	var p Page
	if err := json.Unmarshal(body, &p); err != nil {
		return Page{}, errors.Wrap(ErrPage, err.Error())
	}
	if fault := p.fault(); fault != "" {
		return Page{}, errors.Wrap(ErrPage, fault)
	}
	return p, nil
}

// fault returns what is wrong with a page, or an empty string.
func (p *Page) fault() string {
	switch {
	case p.Instance == "":
		return "no name of an instance"
	case len(p.Services) > MaxServices:
		return "too many services"
	case len(p.Findings) > MaxFindings:
		return "too many findings"
	}
	for i := range p.Services {
		if fault := p.Services[i].fault(); fault != "" {
			return fault
		}
	}
	return ""
}

func (s *Service) fault() string {
	switch {
	case s.Service == "":
		return "no name of a service"
	case len(s.Domains) > MaxDomains:
		return "too many domains"
	case len(s.OutOfUse) > MaxServers:
		return "too many servers"
	case len(s.Admission.Parts) > MaxParts || len(s.Admission.Levels) > MaxClasses:
		return "too many parts or levels"
	}
	for i := range s.Domains {
		if len(s.Domains[i].Classes) > MaxClasses || len(s.Domains[i].Coverage.WithoutHolder) > MaxGaps {
			return "too many classes or layers"
		}
	}
	return ""
}
