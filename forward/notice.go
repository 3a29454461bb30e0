package forward

import (
	"math/rand/v2"
	"time"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/decision"
)

const (
	// backOffJitter is the random part by which a server is left alone for longer than it asked, so that all instances that it turned away at
	// the same time do not return in the same moment.
	backOffJitter = 0.1
	// minBackOff is how long a server that turned a request away is left alone at least, however little it asks for: what it has to do does
	// not change sooner.
	minBackOff = 250 * time.Millisecond
)

// applyNotice takes over what a server says of itself in the head of an answer, whatever becomes of the request: each holds from the first answer on
// that says so, while the server's entry may say otherwise for seconds.
func (h *Handler) applyNotice(request string, server *backend.Server, n call.Notice) {
	if n.Leaving {
		h.noteLeaving(request, server)
	}
	if n.RetryAfter > 0 {
		h.backOff(request, server, n.RetryAfter)
	}
}

// noteLeaving keeps new work away from a server that says that it leaves; what it runs goes on elsewhere in time.
func (h *Handler) noteLeaving(request string, server *backend.Server) {
	if !server.SayFarewell(h.clock.Now()) {
		return
	}
	h.stats.Counter("servers_said_to_leave_total").Inc(1)
	h.record.Failure(request, "server says that it leaves", decision.Fields{"server": server.ID(), "address": server.Addr()})
}

// backOff leaves a server alone for as long as it asked. That counts for this instance and this start of the server only, and says nothing of
// its health.
func (h *Handler) backOff(request string, server *backend.Server, asked time.Duration) {
	after := max(min(asked, h.terms.Load().LongestBackOff), minBackOff)
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
