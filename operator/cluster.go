package operator

import (
	"context"
	"sort"
	"time"

	"junctioncross/control"
	"junctioncross/link"
	"junctioncross/member"
)

// statusTimeout bounds the query to one instance.
const statusTimeout = 1500 * time.Millisecond

// StatusCollector collects the status of the instances of all failure domains: of its own domain from the control loop, of each other
// domain from one of its instances.
type StatusCollector struct {
	loop   *control.Loop
	links  *link.Client
	domain string
}

// NewStatusCollector returns a Cluster for an instance in the given failure domain.
func NewStatusCollector(loop *control.Loop, links *link.Client, domain string) *StatusCollector {
	return &StatusCollector{loop: loop, links: links, domain: domain}
}

// Statuses returns the status of every instance that the platform's list or any domain knows, sorted by name. If several domains
// report an instance, the latest status counts; an instance that only the list knows gets a note.
func (c *StatusCollector) Statuses(ctx context.Context) []control.InstanceStatus {
	byName := map[string]control.InstanceStatus{}
	add := func(all []control.InstanceStatus) {
		for _, s := range all {
			if old, ok := byName[s.Name]; !ok || old.SilentMS > s.SilentMS {
				byName[s.Name] = s
			}
		}
	}
	add(c.loop.Statuses())
	listed := c.loop.Listed()
	answered := map[string]bool{c.domain: true}
	for _, l := range listed {
		if l.Role != member.RoleEntry || answered[l.Domain] {
			continue
		}
		all, err := c.queryStatuses(ctx, l.Addr)
		if err == nil {
			answered[l.Domain] = true
			add(all)
		}
	}
	for _, l := range listed {
		if _, ok := byName[l.Name]; !ok && l.Role == member.RoleEntry {
			byName[l.Name] = control.InstanceStatus{Name: l.Name, Domain: l.Domain, Addr: l.Addr, Note: "not reached"}
		}
	}
	return sortedByName(byName)
}

func (c *StatusCollector) queryStatuses(ctx context.Context, addr string) ([]control.InstanceStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return link.Call[struct{}, []control.InstanceStatus](ctx, c.links, addr, link.KindStatus, struct{}{})
}

func sortedByName(byName map[string]control.InstanceStatus) []control.InstanceStatus {
	out := make([]control.InstanceStatus, 0, len(byName))
	for _, s := range byName {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
