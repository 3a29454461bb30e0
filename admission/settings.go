package admission

import (
	"slices"

	"junctioncross/demand"
)

// Settings say what a Controller acts on.
type Settings struct {
	// Ranks turns on admission by rank, and Accounts that by fair parts of client accounts of one rank.
	Ranks, Accounts bool
	// Weights holds the weights of accounts in their fair parts; the others have the weight 1.
	Weights map[string]float64
	// Parts are the operators' requests for parts of the room.
	Parts []Part
}

// Part is an operator's request for the part of the room that some requests get.
type Part struct {
	// Account selects the requests of an account; if it is empty, those of routes with the priority Route are selected.
	Account string
	Route   int
	// Ceiling is the greatest part of the room, and Guarantee the part that these requests get before others.
	Ceiling, Guarantee float64
}

// selects reports whether the part applies to a class.
func (p *Part) selects(c demand.Class) bool {
	if p.Account != "" {
		return p.Account == c.Account
	}
	return p.Route == c.Rank.Route
}

// Active reports whether there is anything to decide.
func (s *Settings) Active() bool { return s.Ranks || s.Accounts || len(s.Parts) > 0 }

// weight returns the weight of an account.
func (s *Settings) weight(account string) float64 {
	if w := s.Weights[account]; w > 0 {
		return w
	}
	return 1
}

// limits reports whether requests may be refused for the sake of others.
func (s *Settings) limits() bool {
	return s.Ranks || s.Accounts || slices.ContainsFunc(s.Parts, func(p Part) bool { return p.Guarantee > 0 })
}

// class returns the class in which requests are counted: without the account where accounts do not matter, and without the
// priorities where ranks do not, so that an account has one fair part.
func (s *Settings) class(c demand.Class) demand.Class {
	if !s.Accounts && !slices.ContainsFunc(s.Parts, func(p Part) bool { return p.Account != "" }) {
		c.Account = ""
	}
	if !s.Ranks {
		c.Rank.Account = 0
		if !slices.ContainsFunc(s.Parts, func(p Part) bool { return p.Account == "" }) {
			c.Rank.Route = 0
		}
	}
	return c
}
