package operator

import (
	"context"
	"sort"
	"time"

	"junctioncross/control"
	"junctioncross/link"
	"junctioncross/member"
)

const statusTimeout = 1500 * time.Millisecond

// Cluster asks every failure domain for the state of its instances.
type Cluster struct {
	loop   *control.Loop
	links  *link.Client
	domain string
}

// NewCluster returns a Cluster that stands in a failure domain.
func NewCluster(loop *control.Loop, links *link.Client, domain string) *Cluster {
	return &Cluster{loop: loop, links: links, domain: domain}
}

// Statuses returns every instance that the platform's list or a domain knows, with a note on those that nobody reaches.
func (c *Cluster) Statuses(ctx context.Context) []control.InstanceStatus {
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
	asked := map[string]bool{c.domain: true}
	for _, line := range listed {
		if line.Role != member.RoleEntry || asked[line.Domain] {
			continue
		}
		all, err := c.askOne(ctx, line.Addr)
		if err == nil {
			asked[line.Domain] = true
			add(all)
		}
	}
	for _, line := range listed {
		if _, ok := byName[line.Name]; !ok && line.Role == member.RoleEntry {
			byName[line.Name] = control.InstanceStatus{Name: line.Name, Domain: line.Domain, Addr: line.Addr, Note: "not reached"}
		}
	}
	return sorted(byName)
}

func (c *Cluster) askOne(ctx context.Context, addr string) ([]control.InstanceStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return link.Call[struct{}, []control.InstanceStatus](ctx, c.links, addr, link.KindStatus, struct{}{})
}

func sorted(byName map[string]control.InstanceStatus) []control.InstanceStatus {
	out := make([]control.InstanceStatus, 0, len(byName))
	for _, s := range byName {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
