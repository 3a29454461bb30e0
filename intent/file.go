package intent

import (
	"fmt"

	"github.com/pkg/errors"

	"junctioncross/strict"
)

// File is an operator's intent as written in YAML; every entry of Changes has exactly one key.
type File struct {
	Why     string  `yaml:"why" validate:"required,max=500"`
	Changes []entry `yaml:"changes" validate:"min=1,dive"`
}

type entry struct {
	Model         *Model         `yaml:"model"`
	Kind          *Kind          `yaml:"kind"`
	Group         *Group         `yaml:"group"`
	Account       *Account       `yaml:"account"`
	RemoveAccount *RemoveAccount `yaml:"remove_account"`
	Grant         *Grant         `yaml:"grant"`
	Revoke        *Revoke        `yaml:"revoke"`
	Share         *SetShare      `yaml:"share"`
	AddBackend    *Backend       `yaml:"add_backend"`
	RetireBackend *RetireBackend `yaml:"retire_backend"`
	Service       *Service       `yaml:"service"`
	Rebalance     *Rebalance     `yaml:"rebalance"`
}

// Parse reads an intent from YAML; the error lists every mistake with its line.
func Parse(name string, body []byte) (why string, changes []Change, err error) {
	var f File
	if err := strict.Decode(name, body, &f); err != nil {
		return "", nil, err
	}
	for i := range f.Changes {
		found := f.Changes[i].changes()
		if len(found) != 1 {
			return "", nil, errors.Errorf("%s: changes[%d]: has %d keys; accepted: exactly one", name, i, len(found))
		}
		changes = append(changes, found[0])
	}
	return f.Why, changes, nil
}

// changes returns the changes that the entry holds; a valid entry holds one.
func (e *entry) changes() []Change {
	var out []Change
	out = appendSet(out, e.Model, func(m *Model) Change { return &AddModel{*m} })
	out = appendSet(out, e.Kind, func(k *Kind) Change { return &AddKind{*k} })
	out = appendSet(out, e.Group, func(g *Group) Change { return &AddGroup{*g} })
	out = appendSet(out, e.Account, func(a *Account) Change { return &AddAccount{*a} })
	out = appendSet(out, e.RemoveAccount, func(c *RemoveAccount) Change { return c })
	out = appendSet(out, e.Grant, func(c *Grant) Change { return c })
	out = appendSet(out, e.Revoke, func(c *Revoke) Change { return c })
	out = appendSet(out, e.Share, func(c *SetShare) Change { return c })
	out = appendSet(out, e.AddBackend, func(b *Backend) Change { return &AddBackend{*b} })
	out = appendSet(out, e.RetireBackend, func(c *RetireBackend) Change { return c })
	out = appendSet(out, e.Service, func(s *Service) Change { return &AddService{*s} })
	out = appendSet(out, e.Rebalance, func(c *Rebalance) Change { return c })
	return out
}

func appendSet[T any](out []Change, value *T, wrap func(*T) Change) []Change {
	if value == nil {
		return out
	}
	return append(out, wrap(value))
}

// Describe returns one line that says what the change does.
func Describe(c Change) string {
	switch c := c.(type) {
	case *AddModel:
		return fmt.Sprintf("model %s: %d layers, version %s", c.Name, c.Layers, c.Version)
	case *AddKind:
		return "kind " + c.Name
	case *AddGroup:
		return fmt.Sprintf("group %s: weight %g", c.Name, c.Weight)
	case *AddAccount:
		return fmt.Sprintf("account %s of group %s", c.Name, c.Group)
	case *RemoveAccount:
		return "remove account " + c.Name
	case *Grant:
		return fmt.Sprintf("group %s may use model %s", c.Group, c.Model)
	case *Revoke:
		return fmt.Sprintf("group %s may no longer use model %s", c.Group, c.Model)
	case *SetShare:
		return fmt.Sprintf("group %s: weight %g", c.Group, c.Weight)
	case *AddBackend:
		return fmt.Sprintf("add backend server %s of kind %s", c.Name, c.Kind)
	case *RetireBackend:
		return "retire backend server " + c.Name
	case *AddService:
		return "service " + c.Name
	case *Rebalance:
		return "place all layers anew"
	default:
		return fmt.Sprintf("unknown change %T", c)
	}
}
