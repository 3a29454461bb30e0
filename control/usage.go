package control

import "junctioncross/admit"

const (
	// maxOwnersPerDomain is the number of owners whose usage the instances of one domain state together, for each model; it bounds
	// the bytes that usage costs whatever the number of instances.
	maxOwnersPerDomain   = 256
	minOwnersPerInstance = 4
)

// chargedKey names what an instance has said of one owner's use of a model.
type chargedKey struct {
	origin      string
	incarnation uint64
	model       string
	group       string
	account     string
}

// publishUsage states the usage of the heaviest owners of this instance.
func (l *Loop) publishUsage() {
	count := max(maxOwnersPerDomain/max(len(l.members.live), 1), minOwnersPerInstance)
	var all []modelUsage
	l.deps.Gates.Each(func(model string, g gate) {
		if top := g.TakeTop(count); len(top) > 0 {
			all = append(all, modelUsage{Model: model, Top: top})
		}
	})
	if len(all) > 0 {
		l.table.Set(entryUsage, encode(all))
	}
}

// chargeRemote charges what other instances have said since the last time.
func (l *Loop) chargeRemote() {
	for _, o := range l.table.Origins(l.deps.Clock.Now()) {
		if o.Name == l.self.Name {
			continue
		}
		all, _ := l.usageCache.get(o, entryUsage)
		for _, u := range all {
			gate := l.deps.Gates.Gate(u.Model)
			for _, top := range u.Top {
				key := chargedKey{o.Name, o.Incarnation, u.Model, top.Owner.Group, top.Owner.Account}
				l.chargeOne(gate, key, top)
			}
		}
	}
}

func (l *Loop) chargeOne(g gate, key chargedKey, u admit.Usage) {
	if delta := u.Cost - l.charged[key]; delta > 0 {
		g.ChargeRemote(u.Owner, delta)
		l.charged[key] = u.Cost
	}
}
