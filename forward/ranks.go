package forward

import (
	"slices"
	"sort"
	"sync"

	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/demand"
)

// rankCache caches the ranks of the services of one configuration.
type rankCache struct {
	mu      sync.Mutex
	catalog *catalog.Catalog
	ranks   map[string][]demand.Rank
	// latest holds the ranks of each service by the latest configuration with routes to it.
	latest map[string][]demand.Rank
}

// of returns the ranks that the requests of a service can have, the most urgent first.
func (r *rankCache) of(c *catalog.Catalog, service string) []demand.Rank {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.catalog != c {
		r.catalog, r.ranks = c, map[string][]demand.Rank{}
	}
	ranks, known := r.ranks[service]
	if !known {
		ranks = ranksOf(c, service)
		if len(ranks) == 0 {
			// Requests under way go on although no route leads to their service any more.
			ranks = r.latest[service]
		}
		r.keep(service, ranks)
	}
	return ranks
}

// keep caches the ranks of a service; the caller holds the lock.
func (r *rankCache) keep(service string, ranks []demand.Rank) {
	if r.latest == nil {
		r.latest = map[string][]demand.Rank{}
	}
	r.ranks[service], r.latest[service] = ranks, ranks
}

// ranksOf returns the ranks that the requests of a service can have, the most urgent first.
func ranksOf(c *catalog.Catalog, service string) []demand.Rank {
	var out []demand.Rank
	for _, route := range c.RoutesTo(service) {
		if route.Public || !c.NeedsKeys() {
			out = append(out, rankOf(nil, route))
			continue
		}
		accounts := c.Accounts()
		for i := range accounts {
			out = append(out, rankOf(&accounts[i], route))
		}
	}
	slices.SortFunc(out, demand.Rank.Compare)
	return slices.Compact(out)
}

// position is the position of a request's rank among all ranks of its service; 0 is the most urgent.
type position struct{ at, of int }

// ranksDiffer reports whether requests of other ranks may compete with the request.
func (p position) ranksDiffer() bool { return p.of > 1 }

// positionOf returns the position of a rank. One that a newer configuration lacks counts as the next less urgent one.
func positionOf(ranks []demand.Rank, r demand.Rank) position {
	at := sort.Search(len(ranks), func(i int) bool { return ranks[i].Compare(r) >= 0 })
	return position{at: min(at, max(len(ranks)-1, 0)), of: len(ranks)}
}

// rankPosition returns the position of a request's rank among those of its service.
func (h *Handler) rankPosition(r *request, service string) position {
	c := h.fleetView.Current().Catalog()
	if c == nil {
		return position{}
	}
	return positionOf(h.ranks.of(c, service), r.rank)
}

const (
	// levelsPerRank is how many levels of urgency a rank has: one for first tries and one for returning callers.
	levelsPerRank = 2
	// rankLevels is how many ranks the levels of urgency tell apart.
	rankLevels = (call.MaxUrgencyLevel + 1) / levelsPerRank
)

// level returns the urgency that servers are told: none where all requests of the service are equally urgent. Otherwise a first try
// goes before a returned one of the same rank, and both before those of the next rank; where there are more ranks than rankLevels,
// neighbours share their levels.
func (p position) level(returned bool) call.Urgency {
	if !p.ranksDiffer() {
		return call.Urgency{}
	}
	at := p.at
	if p.of > rankLevels {
		at = at * rankLevels / p.of
	}
	level := levelsPerRank * at
	if returned {
		level++
	}
	return call.Urgency{Named: true, Level: level}
}

// urgencyFor returns the urgency that servers are told of a request of a plain service.
func (h *Handler) urgencyFor(r *request) call.Urgency {
	p := h.rankPosition(r, r.group.Service().Name)
	return p.level(p.ranksDiffer() && h.earlierTryOf(r).certain)
}
