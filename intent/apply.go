package intent

import (
	"sort"

	"github.com/pkg/errors"
)

// Apply returns a copy of the document with the changes, and an error for each change that cannot be made and for each
// reference to nothing or duplicate key in the result.
func Apply(d *Document, changes []Change) (*Document, []error) {
	next := d.Clone()
	var problems []error
	for _, c := range changes {
		if err := next.apply(c); err != nil {
			problems = append(problems, err)
		}
	}
	problems = append(problems, next.checkReferences()...)
	return next, problems
}

func (d *Document) apply(c Change) error {
	switch c := c.(type) {
	case *AddModel:
		d.Models = upsert(d.Models, c.Model, func(m *Model) string { return m.Name })
	case *AddKind:
		d.Kinds = upsert(d.Kinds, c.Kind, func(k *Kind) string { return k.Name })
	case *AddGroup:
		d.Groups = upsert(d.Groups, c.Group, func(g *Group) string { return g.Name })
	case *AddAccount:
		d.Accounts = upsert(d.Accounts, c.Account, func(a *Account) string { return a.Name })
	case *AddService:
		d.Services = upsert(d.Services, c.Service, func(s *Service) string { return s.Name })
	case *AddBackend:
		return d.addBackend(c.Backend)
	case *RetireBackend:
		return d.retire(c.Name)
	case *RemoveAccount:
		return d.removeAccount(c.Name)
	case *Grant:
		return d.grant(c)
	case *Revoke:
		return d.revoke(c)
	case *SetShare:
		return d.setShare(c)
	case *Rebalance:
		for i := range d.Backends {
			d.Backends[i].Model = ""
		}
	}
	return nil
}

// upsert inserts the item into items, which are sorted by name, or replaces the one with its name.
func upsert[T any](items []T, item T, name func(*T) string) []T {
	key := name(&item)
	i := sort.Search(len(items), func(i int) bool { return name(&items[i]) >= key })
	if i < len(items) && name(&items[i]) == key {
		items[i] = item
		return items
	}
	items = append(items, item)
	copy(items[i+1:], items[i:])
	items[i] = item
	return items
}

func (d *Document) addBackend(b Backend) error {
	if old := d.Backend(b.Name); old != nil && !old.Retiring {
		return errors.Errorf("backend server %s exists", b.Name)
	}
	b.Retiring = false
	d.Backends = upsert(d.Backends, b, func(b *Backend) string { return b.Name })
	return nil
}

func (d *Document) retire(name string) error {
	b := d.Backend(name)
	if b == nil {
		return errors.Errorf("no backend server %s", name)
	}
	b.Retiring = true
	return nil
}

func (d *Document) removeAccount(name string) error {
	for i := range d.Accounts {
		if d.Accounts[i].Name == name {
			d.Accounts = append(d.Accounts[:i], d.Accounts[i+1:]...)
			return nil
		}
	}
	return errors.Errorf("no account %s", name)
}

func (d *Document) grant(c *Grant) error {
	g := d.Group(c.Group)
	if g == nil {
		return errors.Errorf("no group %s", c.Group)
	}
	if !g.Allows(c.Model) {
		g.Models = append(g.Models, c.Model)
		sort.Strings(g.Models)
	}
	return nil
}

func (d *Document) revoke(c *Revoke) error {
	g := d.Group(c.Group)
	if g == nil || !g.Allows(c.Model) {
		return errors.Errorf("group %s may not use model %s", c.Group, c.Model)
	}
	kept := make([]string, 0, len(g.Models))
	for _, m := range g.Models {
		if m != c.Model {
			kept = append(kept, m)
		}
	}
	g.Models = kept
	return nil
}

func (d *Document) setShare(c *SetShare) error {
	g := d.Group(c.Group)
	if g == nil {
		return errors.Errorf("no group %s", c.Group)
	}
	g.Weight = c.Weight
	return nil
}

// checkReferences returns an error for each reference to something that does not exist and for each key that two accounts have.
func (d *Document) checkReferences() []error {
	var problems []error
	keys := map[string]string{}
	groups := map[string]bool{}
	for _, g := range d.Groups {
		groups[g.Name] = true
		for _, m := range g.Models {
			if d.Model(m) == nil {
				problems = append(problems, errors.Errorf("group %s: no model %s", g.Name, m))
			}
		}
	}
	for _, a := range d.Accounts {
		if !groups[a.Group] {
			problems = append(problems, errors.Errorf("account %s: no group %s", a.Name, a.Group))
		}
		if other, ok := keys[a.KeyHash]; ok {
			problems = append(problems, errors.Errorf("account %s: has the key of account %s", a.Name, other))
		}
		keys[a.KeyHash] = a.Name
	}
	for _, b := range d.Backends {
		if d.Kind(b.Kind) == nil {
			problems = append(problems, errors.Errorf("backend server %s: no kind %s", b.Name, b.Kind))
		}
	}
	return problems
}
