package forward

import (
	"maps"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"junctioncross/decision"
	"junctioncross/models"
)

// refuse tells the caller that the request was not run and after which time to try again.
func (h *Handler) refuse(r *request, reason models.Reason, after time.Duration) {
	h.refuseWith(r, reason, after, nil)
}

// refuseWith is refuse with more fields for the log line.
func (h *Handler) refuseWith(r *request, reason models.Reason, after time.Duration, more decision.Fields) {
	h.stats.Refused(reason, models.FateNotRun)
	fields := h.fields(r, decision.Fields{
		"reason": reason, "fate": models.FateNotRun, "retry_after_ms": after.Milliseconds(), "wait_ms": r.meta.Wait.Milliseconds(),
	})
	if r.forecast != "" {
		fields["forecast"] = r.forecast
	}
	maps.Copy(fields, more)
	h.record.Last(r.meta.ID, "refused", fields)
	head := h.codec.AppendRetryAfter(ownHead(fasthttp.StatusServiceUnavailable), after)
	r.x.Answer(head, []byte(string(reason)+": not run\n"))
}

// deny tells the caller that there is no such route or account; an instance whose configuration may be outdated asks it to
// try again instead.
func (h *Handler) deny(r *request, status int, reason models.Reason, age time.Duration) {
	if age > freshConfigAge {
		h.refuse(r, models.ReasonNoConfiguration, defaultRetryAfter)
		return
	}
	h.stats.Refused(reason, models.FateNotRun)
	h.record.Last(r.meta.ID, "denied", h.fields(r, decision.Fields{"reason": reason, "status": status}))
	r.x.Answer(ownHead(status), []byte(string(reason)+"\n"))
}

// giveUp tells the caller that the request may have run.
func (h *Handler) giveUp(r *request, status int, reason models.Reason, fields decision.Fields) {
	h.stats.Refused(reason, models.FateUnknown)
	all := h.fields(r, decision.Fields{"reason": reason, "fate": models.FateUnknown, "status": status})
	maps.Copy(all, fields)
	h.record.Last(r.meta.ID, "given up", all)
	r.x.Answer(ownHead(status), []byte(string(reason)+": may have run\n"))
}

// ownHead returns the status line and the fixed headers of an answer that the instance itself gives.
func ownHead(status int) []byte {
	head := append(make([]byte, 0, 256), "HTTP/1.1 "...)
	head = strconv.AppendInt(head, int64(status), 10)
	return append(head, " "+fasthttp.StatusMessage(status)+"\r\nContent-Type: text/plain\r\n"...)
}

// fields adds the fields that all log lines about a request have.
func (h *Handler) fields(r *request, fields decision.Fields) decision.Fields {
	now := h.clock.Now()
	fields["held_ms"] = now.Sub(r.x.Arrived()).Milliseconds()
	fields["sends"] = r.sends
	if c := h.fleetView.Current().Catalog(); c != nil {
		fields["config"] = c.Version()
		fields["config_age_ms"] = h.fleetView.KeysAge(now).Milliseconds()
	}
	if r.route != nil {
		fields["route"] = r.route.Name
	}
	if r.group != nil {
		fields["service"] = r.group.Service().Name
	}
	if r.account != "" {
		fields["account"] = r.account
	}
	return fields
}
