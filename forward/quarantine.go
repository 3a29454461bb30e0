package forward

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"junctioncross/backend"
	"junctioncross/decision"
	"junctioncross/models"
	"junctioncross/quarantine"
)

const (
	// harmlessTime is how long a server must have run a request for the request to count as harmless: one that ends each
	// server that runs it does so within a tenth of this time.
	harmlessTime = time.Second
	// justBegunTime is how long a server that terminates because of a request may take to do so once it has begun to answer it.
	justBegunTime = 200 * time.Millisecond
	// beginningTime is the same for a server that works slowly.
	beginningTime = 2 * justBegunTime
)

// brokenRun is what is known of a run that broke.
type brokenRun struct {
	// begun is true if the server had begun to answer, and answered is for how long then.
	begun    bool
	answered time.Duration
	// lasted is the time between the server's first event and its latest one.
	lasted time.Duration
}

// justBegun reports whether the server terminated as soon after it had begun to answer as it would because of the request.
func (r brokenRun) justBegun() bool { return r.begun && r.answered <= justBegunTime }

// suspectsParts reports whether a part of the prompt may have terminated the server, which it would have done at the beginning of the
// answer.
func (r brokenRun) suspectsParts() bool { return !r.begun || r.answered <= beginningTime }

// quarantined is the outcome of a request that is quarantined: it is sent to no further server since several have ended while
// they ran it, or requests that share a part of its prompt.
type quarantined struct {
	// left is how long the quarantine lasts at most.
	left time.Duration
	// part is the id of that part; it is empty if the request itself is quarantined.
	part string
}

func (quarantined) outcome() {}

// reason returns the reason that the refusal is counted under.
func (k quarantined) reason() models.Reason {
	if k.part != "" {
		return models.ReasonPartQuarantined
	}
	return models.ReasonQuarantined
}

// fields returns what the log lines say of the quarantine.
func (k quarantined) fields() decision.Fields {
	if k.part == "" {
		return nil
	}
	return decision.Fields{"part": k.part}
}

// quarantineOf reports whether the request is quarantined. It is called before each send, not only when a request arrives:
// otherwise each request that waits for free capacity or a further attempt could end one more server.
func (h *Handler) quarantineOf(r *request) (quarantined, bool) {
	if h.ends.Size() == 0 {
		return quarantined{}, false
	}
	now := h.clock.Now()
	if left, ok := h.ends.Quarantined(r.fingerprint(), quarantine.ShortDigest(r.meta.ID), now); ok {
		return quarantined{left: left}, true
	}
	part, left, ok := h.ends.QuarantinedPart(r.sharedParts(), now)
	if !ok || h.ends.Try(r.fingerprint(), quarantine.ShortDigest(r.meta.ID), r.sharedParts(), now) {
		return quarantined{}, false
	}
	return quarantined{left: left, part: part.ID}, true
}

// isQuarantine reports whether a reason is that of a quarantine.
func isQuarantine(reason models.Reason) bool {
	return reason == models.ReasonQuarantined || reason == models.ReasonPartQuarantined
}

// isQuarantined reports whether the request is quarantined, and does not try its parts.
func (h *Handler) isQuarantined(r *request) bool {
	if h.ends.Size() == 0 {
		return false
	}
	now := h.clock.Now()
	if _, ok := h.ends.Quarantined(r.fingerprint(), quarantine.ShortDigest(r.meta.ID), now); ok {
		return true
	}
	_, _, ok := h.ends.QuarantinedPart(r.sharedParts(), now)
	return ok
}

// sharedParts returns the parts of the request's prompt that other requests may have as well.
func (r *request) sharedParts() []quarantine.Part {
	ids := r.meta.SharedParts()
	if len(ids) == 0 {
		return nil
	}
	return quarantine.PartsOf(r.group.Service().Name, ids)
}

// refuseQuarantined tells the caller that the request is quarantined and for how long; or that it may have run, if servers ended
// while they ran this very attempt.
func (h *Handler) refuseQuarantined(r *request, k quarantined) {
	if r.runs > 0 {
		h.giveUp(r, fasthttp.StatusBadGateway, k.reason(), k.fields())
		return
	}
	h.refuseWith(r, k.reason(), k.left, k.fields())
}

// suspectEnd records that a server may have ended because of a request that had run on it for some time, and checks in the
// background whether it has. Until then the end counts on this instance, so that this attempt is not sent to more servers
// than allowed. A request that had run for harmlessTime or longer is cleared instead.
func (h *Handler) suspectEnd(r *request, server *backend.Server, run brokenRun) {
	if run.lasted >= harmlessTime {
		h.clear(r)
		return
	}
	now := h.clock.Now()
	end := quarantine.NewEnd(r.fingerprint(), server.Incarnation().String(), r.meta.ID)
	var suspects []quarantine.Part
	if run.suspectsParts() {
		suspects = h.ends.Unproven(r.sharedParts(), now)
	}
	end.Suspects = quarantine.NewSuspects(r.group.Service().Name, suspects, run.justBegun())
	h.ends.Suspect(end, now)
	id, chained, parts := r.meta.ID, r.group.Graph() != nil, strings.Join(r.meta.SharedParts(), " ")
	settle := func() {
		if h.fateOf(server, chained, now) != fateEnded {
			h.ends.Withdraw(end)
			return
		}
		if !h.ends.Confirm(end, h.clock.Now()) {
			return
		}
		h.stats.Counter("quarantine_ends_total").Inc(1)
		h.record.Failure(id, "server ended under a request", decision.Fields{
			"server": server.ID(), "address": server.Addr(), "fingerprint": end.Request.String(), "ends": h.ends.Ends(end.Request),
			"parts": parts, "begun": run.begun, "ran_ms": run.answered.Milliseconds(),
		})
		h.publisher.Wake()
	}
	go func() {
		if !h.guarded(server, settle) {
			// What became of the server is not known.
			h.ends.Withdraw(end)
		}
	}()
}

// clear clears a request and the parts of its prompt, since a server has run it for harmlessTime or written an answer to it.
func (h *Handler) clear(r *request) {
	h.clearEnds(r)
	h.proveParts(r)
}

// clearEnds deletes the recorded ends of a request, since a server has run it without ending.
func (h *Handler) clearEnds(r *request) {
	if h.ends.Size() == 0 {
		return
	}
	fingerprint := r.fingerprint()
	ends := h.ends.Clear(fingerprint)
	if ends == 0 {
		return
	}
	h.noteCleared(r, ends, 0)
}

// proveParts deletes the recorded ends of the parts of a request's prompt, since a server has written an answer to it without ending.
func (h *Handler) proveParts(r *request) {
	if ends := h.ends.Prove(r.sharedParts(), h.clock.Now()); ends > 0 {
		h.noteCleared(r, 0, ends)
	}
}

// noteCleared logs the number of ends that no longer count against a request and the parts of its prompt, and publishes that.
func (h *Handler) noteCleared(r *request, ends, partEnds int) {
	h.stats.Counter("quarantine_absolved_total").Inc(1)
	h.record.Failure(r.meta.ID, "request proved harmless", decision.Fields{
		"fingerprint": r.fingerprint().String(), "ends": ends, "part_ends": partEnds,
	})
	h.publisher.Wake()
}
