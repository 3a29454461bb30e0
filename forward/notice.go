package forward

import (
	"math/rand/v2"
	"time"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/decision"
)

const (
	// backOffJitter is the random part by which a back-off is longer than the server asked for, so that instances that were
	// refused at the same time do not return at the same time.
	backOffJitter = 0.1
	// minBackOff is the shortest back-off after a refusal, however little the server asks for: its load does not change
	// sooner.
	minBackOff = 250 * time.Millisecond
)

// applyNotice applies what a server says about itself in the head of an answer, whatever becomes of the request. It takes
// effect with the first such answer, although the entry of the server may say otherwise for seconds.
func (h *Handler) applyNotice(request string, server *backend.Server, n call.Notice) {
	if n.Leaving {
		h.noteLeaving(request, server)
	}
	if n.RetryAfter > 0 {
		h.backOff(request, server, n.RetryAfter)
	}
}

// noteLeaving keeps new work away from a server that has sent a leave notice; what it runs is moved to other servers in
// time.
func (h *Handler) noteLeaving(request string, server *backend.Server) {
	if !server.NoteLeaveNotice(h.clock.Now()) {
		return
	}
	h.stats.Counter("servers_said_to_leave_total").Inc(1)
	h.record.Failure(request, "server says that it leaves", decision.Fields{"server": server.ID(), "address": server.Addr()})
}

// backOff sends a server no requests for as long as it asked. This holds for this instance and this incarnation of the
// server only, and says nothing about its health.
func (h *Handler) backOff(request string, server *backend.Server, asked time.Duration) {
	after := max(min(asked, h.settings.Load().LongestBackOff), minBackOff)
	after += time.Duration(rand.Float64() * backOffJitter * float64(after))
	now := h.clock.Now()
	again := server.BackedOff(now)
	server.BackOff(now.Add(after))
	h.stats.Counter("back_offs_total").Inc(1)
	h.record.Failure(request, "server wants nothing yet", decision.Fields{
		"server": server.ID(), "address": server.Addr(), "retry_after_ms": asked.Milliseconds(), "left_alone_ms": after.Milliseconds(),
		"again": again,
	})
}
