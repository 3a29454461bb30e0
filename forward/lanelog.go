package forward

import (
	"time"

	"junctioncross/backend"
	"junctioncross/chain"
	"junctioncross/decision"
)

// lanesOf returns the lanes of a group and logs them when they have changed.
func (h *Handler) lanesOf(group *backend.Group, now time.Time) []chain.Lane {
	name := group.Service().Name
	lanes, changed := h.laneCacheOf(name).get(group, now)
	if changed && h.lanesLog.Allow(name, now) {
		h.logLanes(name, lanes)
	}
	return lanes
}

func sameLane(a, b chain.Lane) bool { return a.Sequences == b.Sequences && a.Domain == b.Domain }

// logLanes logs for how many sequences there is memory in the lanes of the own domain, in those of other domains, and in those
// that cross domains.
func (h *Handler) logLanes(service string, lanes []chain.Lane) {
	own, others, crossing := h.sequences(lanes)
	h.record.Routine("", "lanes", decision.Fields{
		"service": service, "lanes": len(lanes), "own_domain": own, "other_domains": others, "crossing": crossing,
	})
}

// sequences returns for how many sequences there is memory in the lanes of the own domain, in those of other domains, and in
// those that cross domains.
func (h *Handler) sequences(lanes []chain.Lane) (own, others, crossing int) {
	var sums [3]float64
	for i := range lanes {
		switch {
		case lanes[i].Domain == h.settings.Load().Domain:
			sums[0] += lanes[i].Sequences
		case lanes[i].Crossings == 0:
			sums[1] += lanes[i].Sequences
		default:
			sums[2] += lanes[i].Sequences
		}
	}
	return int(sums[0]), int(sums[1]), int(sums[2])
}
