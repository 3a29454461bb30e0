package control

import (
	"strings"
	"time"

	"junctioncross/chart"
	"junctioncross/engine"
	"junctioncross/gossip"
	"junctioncross/intent"
	"junctioncross/models"
	"junctioncross/order"
	"junctioncross/plan"
	"junctioncross/pool"
	"junctioncross/route"
	"junctioncross/view"
)

var backendChart = chart.MustLoad("backend")

// backend is a backend server of the configuration in force.
type backend struct {
	spec  intent.Backend
	kind  *intent.Kind
	index int
	chart *chart.Machine
	// latest is the newest reported status of the server; known is false until there is one.
	latest backendStatus
	known  bool
}

// serving reports whether new work for the model may go to the server.
func (b *backend) serving(model string) bool {
	return b.chart.State() == "serving" && b.latest.Model == model && !b.spec.Retiring
}

// fire passes an event to the server's state machine and ignores one that its state does not accept.
func (b *backend) fire(e chart.Event) {
	if b.chart.Can(e) {
		_ = b.chart.Fire(e)
	}
}

// syncBackends adds, updates and removes backend servers to match the configuration in force.
func (l *Loop) syncBackends() {
	d := l.index.Document()
	keep := map[string]bool{}
	for _, spec := range d.Backends {
		keep[spec.Name] = true
		b := l.backends[spec.Name]
		if b == nil || b.spec.Addr != spec.Addr {
			b = &backend{chart: chart.New(backendChart)}
			b.index = l.deps.Pool.Ensure(pool.Spec{Name: spec.Name, Addr: spec.Addr, Domain: spec.Domain})
			l.backends[spec.Name] = b
		}
		b.spec = spec
		b.kind = d.Kind(spec.Kind)
	}
	for name, b := range l.backends {
		if !keep[name] {
			l.deps.Pool.Server(b.index).SetExcluded(true)
			delete(l.backends, name)
		}
	}
	l.assignPolls()
}

// mergeBackends combines what all instances report about the backend servers and returns whether the state of any server changed.
func (l *Loop) mergeBackends() bool {
	newest := map[string]backendStatus{}
	movingNow := map[string]bool{}
	listedLeaving := map[string]bool{}
	for _, o := range l.table.Origins(l.deps.Clock.Now()) {
		o.Each(func(e gossip.Entry) {
			if name, ok := strings.CutPrefix(e.Key, prefixBackend); ok {
				l.keepNewest(newest, name, o, e.Key)
			}
		})
		if o.SinceUpdate < silentLimit {
			l.addNames(movingNow, o, entryMoving)
			l.addNames(listedLeaving, o, entryLeaving)
		}
	}
	changed := false
	serving := 0
	for name, b := range l.backends {
		if s := newest[name]; b.known && s.Incarnation > b.latest.Incarnation {
			l.deps.Pool.Server(b.index).Restarted()
		}
		changed = b.update(newest[name], listedLeaving[name]) || changed
		excluded := b.spec.Retiring || movingNow[name] || b.chart.State() == "leaving" || b.chart.State() == "suspect"
		l.deps.Pool.Server(b.index).SetExcluded(excluded)
		if b.chart.State() == "serving" && !excluded {
			serving++
		}
	}
	l.deps.Stats.Gauge("servers_serving").Update(int64(serving))
	return changed
}

// addNames adds the server names that an instance lists in an entry to set.
func (l *Loop) addNames(set map[string]bool, o gossip.Origin, key string) {
	names, _ := l.namesCache.get(o, key)
	for _, n := range names {
		set[n] = true
	}
}

// keepNewest stores the status that an instance reports for a server in newest, unless that holds a newer one. Of two equally new
// ones, a status that marks the server as silent is replaced.
func (l *Loop) keepNewest(newest map[string]backendStatus, name string, o gossip.Origin, key string) {
	s, ok := l.backendCache.get(o, key)
	if !ok {
		return
	}
	old, known := newest[name]
	if !known || s.newer(old) || !old.newer(s) && old.Silent {
		newest[name] = s
	}
}

// update applies the newest reported status to the server's state machine and returns whether anything changed.
func (b *backend) update(s backendStatus, listedLeaving bool) bool {
	before, was := b.chart.State(), b.latest
	if s.Incarnation != 0 {
		if b.known && s.Incarnation > b.latest.Incarnation {
			b.fire("restarted")
		}
		b.known = true
		b.latest = s
		b.fire(eventOf(s))
	}
	if s.Leaving || listedLeaving {
		b.fire("leaving")
	}
	return b.chart.State() != before || !b.latest.equalIgnoringSequence(was)
}

func eventOf(s backendStatus) chart.Event {
	switch {
	case s.Silent:
		return "silent"
	case s.State == engine.StateReady:
		return "ready"
	default:
		return "loading"
	}
}

// publishSnapshot publishes the current configuration and servers to the request path.
func (l *Loop) publishSnapshot() {
	if l.index == nil {
		return
	}
	graphs := map[string]*route.Graph{}
	for _, m := range l.index.Document().Models {
		graphs[m.Name] = l.graph(&m)
	}
	l.deps.Snapshots.Publish(view.NewSnapshot(l.index, graphs))
}

// graph returns the graph of a model's servers. It uses the servers of the own domain; only if these form no complete path does
// it add those of other domains, with the layers that the configuration assigns to them.
func (l *Loop) graph(m *intent.Model) *route.Graph {
	nodes := make([]route.Node, 0, len(l.backends))
	for _, b := range l.backends {
		if b.spec.Domain == l.self.Domain && b.serving(m.Name) && b.latest.Version == m.Version {
			nodes = append(nodes, b.node(b.latest.Layers))
		}
	}
	g := route.NewGraph(m.Layers, nodes)
	if !g.Empty() {
		return g
	}
	for _, b := range l.backends {
		if b.spec.Domain != l.self.Domain && b.spec.Model == m.Name && !b.spec.Retiring {
			nodes = append(nodes, b.node(b.spec.Layers))
		}
	}
	return route.NewGraph(m.Layers, nodes)
}

func (b *backend) node(layers models.Layers) route.Node {
	count := max(layers.Count(), 1)
	step := plan.StepMicros(b.kind, count, b.kind.MaxBatch) + 2*b.spec.LinkMicros
	return route.Node{
		Server: b.index, Layers: layers, Weight: plan.LayerRate(b.kind) / float64(count),
		Step: time.Duration(step * float64(time.Microsecond)),
	}
}

// domainServers returns the servers of the own domain as the configuration plans them and as they were last reported.
func (l *Loop) domainServers() serversAnswer {
	a := serversAnswer{seen: map[string]order.Seen{}}
	if l.index == nil {
		return a
	}
	for name, b := range l.backends {
		if b.spec.Domain != l.self.Domain || b.spec.Model == "" || b.spec.Retiring {
			continue
		}
		m := l.index.Document().Model(b.spec.Model)
		if m == nil {
			continue
		}
		a.targets = append(a.targets, order.Target{
			Name: name, Addr: b.spec.Addr, Model: m.Name, Version: m.Version, Total: m.Layers,
			Layers: b.spec.Layers, ChecksFence: b.spec.ChecksFence,
		})
		if b.known {
			s := b.latest
			a.seen[name] = order.Seen{
				Silent: s.Silent, Leaving: s.Leaving, State: s.State, Model: s.Model, Version: s.Version, Layers: s.Layers,
			}
		}
	}
	return a
}

// ShouldLead implements order.Fleet.
func (l *Loop) ShouldLead() bool { return l.chosen.Load() }

// Targets implements order.Fleet.
func (l *Loop) Targets() []order.Target { return l.requestServers().targets }

// Seen implements order.Fleet.
func (l *Loop) Seen() map[string]order.Seen { return l.requestServers().seen }

// SetMoving implements order.Fleet.
func (l *Loop) SetMoving(names []string) { l.post(movingChanged{names: names}) }

// SetLeads records whether this instance gives the orders in its domain.
func (l *Loop) SetLeads(leads bool) { l.leads.Store(leads) }

func (l *Loop) requestServers() serversAnswer {
	return ask(l, func(answer chan serversAnswer) message { return serversRequested{answer: answer} })
}
