package config

import (
	"fmt"

	"github.com/pkg/errors"
)

// roundingSlack is by how much guarantees may add up to more than 1, since sums of decimal fractions are rounded.
const roundingSlack = 1e-9

// checkParts checks the requests for parts of the room; the error names the first field that cannot be followed.
func checkParts(parts []HostedPart) error {
	total := 0.0
	seen := map[string]int{}
	for i := range parts {
		p, at := &parts[i], fmt.Sprintf("admission.parts[%d]", i)
		if err := p.check(at); err != nil {
			return err
		}
		if former, twice := seen[p.key()]; twice {
			return errors.Errorf("%s: names the same as admission.parts[%d]", at, former)
		}
		seen[p.key()] = i
		total += p.Guarantee
		if total > 1+roundingSlack {
			return errors.Errorf("%s.guarantee: the guarantees add up to more than 1", at)
		}
	}
	return nil
}

// key identifies the route or account that a request names.
func (p *HostedPart) key() string {
	if p.Route != nil {
		return "route " + *p.Route
	}
	return "account " + *p.Account
}

// check checks one request; at is the setting that the error names.
func (p *HostedPart) check(at string) error {
	switch {
	case p.Route == nil && p.Account == nil:
		return errors.Errorf("%s: names neither a route nor an account", at)
	case p.Route != nil && p.Account != nil:
		return errors.Errorf("%s.account: a route is named already", at)
	case p.Route != nil && *p.Route == "":
		return errors.Errorf("%s.route: is an empty name", at)
	case p.Account != nil && *p.Account == "":
		return errors.Errorf("%s.account: is an empty name", at)
	case p.Route != nil && p.Weight != nil:
		return errors.Errorf("%s.weight: only accounts have weights", at)
	case p.Ceiling != nil && *p.Ceiling < p.Guarantee:
		return errors.Errorf("%s.guarantee: is above the ceiling", at)
	default:
		return nil
	}
}
