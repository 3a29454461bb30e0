package leader

import (
	"context"

	"junctioncross/backend"
	"junctioncross/supervise"
)

// term holds what a leader knows of the servers of each chained service; it ends when the instance loses the lease.
type term struct {
	leader   *Leader
	services map[string]*serviceTerm
	// placing is the service whose servers get their orders at present.
	placing string
	// panics holds the pauses after panics over the orders to each service.
	panics map[string]*supervise.Pause
}

func newTerm(l *Leader) *term {
	return &term{leader: l, services: map[string]*serviceTerm{}, panics: map[string]*supervise.Pause{}}
}

// round gives the orders that are due to the servers of all services with a chained engine.
func (t *term) round(ctx context.Context) {
	t.placeGroups(ctx, t.leader.fleet.Current().Groups())
}

// placeGroups gives the orders that are due to the servers of all groups with a chained engine, and forgets services that are no
// longer configured, with their panics. A panic over one service stops the orders to that service only.
func (t *term) placeGroups(ctx context.Context, groups map[string]*backend.Group) {
	for name := range t.services {
		if group := groups[name]; group == nil || group.Service().Engine == nil {
			delete(t.services, name)
		}
	}
	for name := range t.panics {
		if groups[name] == nil {
			delete(t.panics, name)
		}
	}
	for name, group := range groups {
		engine := group.Service().Engine
		if engine == nil || t.paused(name) {
			continue
		}
		t.placing = name
		service := t.service(name)
		returned := t.leader.guard.Call(partName, t.leader.work, func() { service.place(ctx, engine, group.Servers()) })
		if !returned || service.callPanicked.Load() {
			t.notePanic(name)
		}
	}
	t.placing = ""
}

// service returns what is known of a service, which is nothing at first.
func (t *term) service(name string) *serviceTerm {
	if t.services[name] == nil {
		t.services[name] = newServiceTerm(t.leader)
	}
	return t.services[name]
}
