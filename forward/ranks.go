package forward

import (
	"slices"
	"sort"
	"sync"

	"junctioncross/call"
	"junctioncross/catalog"
)

// rankCache caches the ranks of the services of one configuration.
type rankCache struct {
	mu      sync.Mutex
	catalog *catalog.Catalog
	ranks   map[string][]urgency
}

// of returns the ranks that the requests of a service can have, the most urgent first.
func (b *rankCache) of(c *catalog.Catalog, service string) []urgency {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.catalog != c {
		b.catalog, b.ranks = c, map[string][]urgency{}
	}
	ranks, known := b.ranks[service]
	if !known {
		ranks = ranksOf(c, service)
		b.ranks[service] = ranks
	}
	return ranks
}

// ranksOf returns the ranks that the requests of a service can have, the most urgent first.
func ranksOf(c *catalog.Catalog, service string) []urgency {
	var out []urgency
	for _, route := range c.RoutesTo(service) {
		if route.Public || !c.NeedsKeys() {
			out = append(out, urgencyOf(nil, route))
			continue
		}
		accounts := c.Accounts()
		for i := range accounts {
			out = append(out, urgencyOf(&accounts[i], route))
		}
	}
	slices.SortFunc(out, urgency.compare)
	return slices.Compact(out)
}

// rank is the position of a request's rank among all ranks of its service; 0 is the most urgent.
type rank struct{ position, of int }

// unlike reports whether requests of other ranks may compete with the request.
func (r rank) unlike() bool { return r.of > 1 }

// rankAmong returns the position of a rank. One that a newer configuration lacks counts as the next less urgent one.
func rankAmong(ranks []urgency, u urgency) rank {
	at := sort.Search(len(ranks), func(i int) bool { return ranks[i].compare(u) >= 0 })
	return rank{position: min(at, max(len(ranks)-1, 0)), of: len(ranks)}
}

// rankOf returns the rank of a request among those of its service.
func (h *Handler) rankOf(r *request, service string) rank {
	c := h.fleetView.Current().Catalog()
	if c == nil {
		return rank{}
	}
	return rankAmong(h.ranks.of(c, service), r.urgency)
}

const (
	// levelsPerRank is how many levels of urgency a rank has: one for first tries and one for returning callers.
	levelsPerRank = 2
	// rankLevels is how many ranks can be told apart in what servers are told.
	rankLevels = (call.MaxUrgencyLevel + 1) / levelsPerRank
)

// level returns the urgency that servers are told: nothing where all requests of the service are equally urgent; otherwise a first try
// goes before a returned one of the same rank, and both before those of the next rank. Where there are more ranks than levels,
// neighbours share one.
func (r rank) level(returned bool) call.Urgency {
	if !r.unlike() {
		return call.Urgency{}
	}
	position := r.position
	if r.of > rankLevels {
		position = position * rankLevels / r.of
	}
	level := levelsPerRank * position
	if returned {
		level++
	}
	return call.Urgency{Named: true, Level: level}
}

// urgencyFor returns the urgency that servers are told of a request of a plain service.
func (h *Handler) urgencyFor(r *request) call.Urgency {
	rank := h.rankOf(r, r.group.Service().Name)
	return rank.level(rank.unlike() && h.hasReturned(r))
}
