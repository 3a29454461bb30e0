package forward

import (
	"time"

	"github.com/valyala/fasthttp"

	"junctioncross/backend"
	"junctioncross/decision"
)

// noteFull records that a server had no free capacity, unless the server has backed off. A plain service
// reports nothing else, so its server is avoided for a while; the memory of a chained engine is known from its reports.
func (h *Handler) noteFull(r *request, server *backend.Server, now time.Time) {
	switch {
	case server.BackedOff(now):
	case r.group.Graph() != nil:
		server.NoteMemoryFull(now)
	default:
		server.NoteFull(now)
	}
}

// recordRefusal records why a server refused a request.
func (h *Handler) recordRefusal(r *request, server *backend.Server, s *sentRequest) {
	now := h.clock.Now()
	server.ReleaseTrial()
	server.NoteRefused(now)
	filled, known := server.Filled(now, maxReportAge, 1)
	if s.info.Status == fasthttp.StatusMisdirectedRequest {
		server.NoteStaleLayers(now)
	} else {
		h.noteFull(r, server, now)
	}
	h.shareRefusal(r, server, s, filled, known, now)
	h.record.Failure(r.meta.ID, "turned away", h.fields(r, decision.Fields{
		"server": server.ID(), "address": server.Addr(), "status": s.info.Status, "fault": s.info.Fault,
		"retry_after_ms": s.info.RetryAfter.Milliseconds(), "leaving": s.info.Leaving,
	}))
}
