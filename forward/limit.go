package forward

import (
	"time"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/chain"
	"junctioncross/decision"
)

// noteLimit applies what an answer says about the rate limit of its server; sent is when the request of that answer was
// sent.
func (h *Handler) noteLimit(request string, server *backend.Server, limit call.Limit, sent time.Time) {
	if !server.UpdateLimit(limit, sent, h.clock.Now()) {
		return
	}
	fields := decision.Fields{"server": server.ID(), "address": server.Addr()}
	if !limit.Named {
		h.record.Failure(request, "server names no limit any more", fields)
		return
	}
	h.stats.Counter("server_limits_total").Inc(1)
	_, period, _ := server.NextPermit(h.instances.Instances())
	fields["limit_per_s"], fields["instances"], fields["period_ms"] = limit.PerSecond, h.instances.Instances(), period.Milliseconds()
	h.record.Failure(request, "server names a limit", fields)
}

// rateLimitDelay returns how long it takes until the rate limits of the first servers of the lanes have allowed so many
// requests; false means that one of these servers names no limit, so that only free capacity counts.
func (h *Handler) rateLimitDelay(group *backend.Group, lanes []chain.Lane, places float64, now time.Time) (time.Duration, bool) {
	if len(lanes) == 0 {
		return 0, false
	}
	first, perSecond := time.Time{}, 0.0
	counted := map[int]bool{}
	for i := range lanes {
		server := lanes[i].Hops[0].Server
		if counted[server] {
			continue
		}
		counted[server] = true
		next, period, limited := group.Servers()[server].NextPermit(h.instances.Instances())
		if !limited {
			return 0, false
		}
		if first.IsZero() || next.Before(first) {
			first = next
		}
		perSecond += 1 / max(period, time.Nanosecond).Seconds()
	}
	after := time.Duration(max(places-1, 0) / perSecond * float64(time.Second))
	return max(first.Sub(now), 0) + after, true
}
