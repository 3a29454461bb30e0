package control

import "junctioncross/admit"

const (
	// maxOwnersPerDomain is the number of owners for each model whose usage the instances of a domain publish in total. It limits
	// the gossip traffic for usage, however many instances there are.
	maxOwnersPerDomain = 256
	// minOwnersPerInstance is the number of owners that each instance may publish in any case.
	minOwnersPerInstance = 4
)

// chargedKey identifies the usage of a model by one owner on one incarnation of an instance.
type chargedKey struct {
	origin      string
	incarnation uint64
	model       string
	group       string
	account     string
}

// publishUsage publishes the usage of the owners that have used most on this instance since the last time.
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

// chargeRemote charges the usage that other instances have published since the last time.
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

// chargeOne charges what an owner's cumulative usage on an instance has grown by.
func (l *Loop) chargeOne(g gate, key chargedKey, u admit.Usage) {
	if delta := u.Cost - l.charged[key]; delta > 0 {
		g.ChargeRemote(u.Owner, delta)
		l.charged[key] = u.Cost
	}
}
