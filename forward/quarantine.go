package forward

import (
	"time"

	"github.com/valyala/fasthttp"

	"junctioncross/backend"
	"junctioncross/decision"
	"junctioncross/models"
	"junctioncross/quarantine"
)

const (
	// harmlessTime is how long a server must have run a request for it to be none that ends each server that begins it: these end
	// within a tenth of it.
	harmlessTime = time.Second
	// endCheckTimeout is how long it may take to find out whether a server has ended: several questions to it.
	endCheckTimeout = time.Second
	// endCheckPeriod is the pause between two looks.
	endCheckPeriod = 50 * time.Millisecond
)

// kept ends a request that is sent to no server any more since several ended under it.
type kept struct {
	// left is for how long it is kept from servers at most.
	left time.Duration
}

func (kept) outcome() {}

// keptFrom reports whether the request is to be sent to no server. It is asked before each send, not only when a request comes: those that
// wait for room or for another attempt would each begin at one more server.
func (h *Handler) keptFrom(r *request) (kept, bool) {
	if h.ends.Size() == 0 {
		return kept{}, false
	}
	left, ok := h.ends.Kept(r.fingerprint(), quarantine.Short(r.meta.ID), h.clock.Now())
	return kept{left: left}, ok
}

// refuseKept tells the caller that the request is not sent to servers, and when it may be again; or that it may have run, if servers ended
// under this very attempt.
func (h *Handler) refuseKept(r *request, k kept) {
	if r.runs > 0 {
		h.giveUp(r, fasthttp.StatusBadGateway, models.ReasonQuarantined, nil)
		return
	}
	h.refuse(r, models.ReasonQuarantined, k.left)
}

// suspectEnd keeps that a server may have ended under a request that it had run for some time, and finds out in the background whether it
// has. Until then the end counts here, so that this attempt goes on no further than it may.
func (h *Handler) suspectEnd(r *request, server *backend.Server, ran time.Duration) {
	if ran >= harmlessTime {
		h.absolve(r)
		return
	}
	now := h.clock.Now()
	end := quarantine.NewEnd(r.fingerprint(), server.Incarnation().String(), r.meta.ID)
	h.ends.Suspect(end, now)
	id, chained := r.meta.ID, r.group.Graph() != nil
	go func() {
		if !h.hasEnded(server, chained, now) {
			h.ends.Withdraw(end)
			return
		}
		if !h.ends.Confirm(end, h.clock.Now()) {
			return
		}
		h.stats.Counter("quarantine_ends_total").Inc(1)
		h.record.Failure(id, "server ended under a request", decision.Fields{
			"server": server.ID(), "address": server.Addr(), "fingerprint": end.Request.String(), "ends": h.ends.Ends(end.Request),
		})
		h.publisher.Wake()
	}()
}

// hasEnded reports whether a server on which something broke at a moment has ended, as far as it can be told: one that is silent counts as
// ended, one that says anything has not.
func (h *Handler) hasEnded(server *backend.Server, chained bool, broke time.Time) bool {
	if !chained {
		// A plain service tells nothing of itself without taking a place for the question; whether it listens is for nothing.
		return server.Ended() || !server.Listens(h.clock.Now())
	}
	for h.clock.Since(broke) < endCheckTimeout {
		if server.Ended() || server.Gone() || server.SilentSince(broke) {
			return true
		}
		if server.AnsweredSince(broke) {
			return false
		}
		h.question(server, "broken run")
		<-h.clock.After(endCheckPeriod)
	}
	return true
}

// absolve takes back what is held against a request, since a server has run it and stands.
func (h *Handler) absolve(r *request) {
	if h.ends.Size() == 0 {
		return
	}
	fingerprint := r.fingerprint()
	ends := h.ends.Absolve(fingerprint)
	if ends == 0 {
		return
	}
	h.stats.Counter("quarantine_absolved_total").Inc(1)
	h.record.Failure(r.meta.ID, "request proved harmless", decision.Fields{"fingerprint": fingerprint.String(), "ends": ends})
	h.publisher.Wake()
}
