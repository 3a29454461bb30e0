package entry

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"junctioncross/decision"
	"junctioncross/models"
)

// refusal is an error answer, which ends a call.
type refusal struct {
	status     int
	reason     models.Reason
	fate       models.Fate
	message    string
	retryAfter time.Duration
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string        `json:"message"`
	Type      string        `json:"type"`
	Param     *string       `json:"param"`
	Code      models.Reason `json:"code"`
	Fate      models.Fate   `json:"fate"`
	RequestID string        `json:"request_id"`
}

func notRun(status int, reason models.Reason, message string) *refusal {
	return &refusal{status: status, reason: reason, fate: models.FateNotRun, message: message}
}

func (r *refusal) body(requestID string) []byte {
	kind := "invalid_request_error"
	if r.status >= fasthttp.StatusInternalServerError || r.status == fasthttp.StatusTooManyRequests {
		kind = "server_error"
	}
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Message: r.message, Type: kind, Code: r.reason, Fate: r.fate, RequestID: requestID,
	}})
	if err != nil {
		return []byte(`{"error":{"message":"internal error"}}`)
	}
	return body
}

// refuse writes the refusal as the answer, counts it and logs it.
func (h *Handler) refuse(ctx *fasthttp.RequestCtx, c *call, r *refusal) {
	h.stats.Refused(r.reason, r.fate)
	h.record.Last(c.id, "refused", h.fields(c, decision.Fields{
		"reason": r.reason, "fate": r.fate, "status": r.status, "retry_after_ms": r.retryAfter.Milliseconds(),
	}))
	ctx.Response.Reset()
	ctx.SetStatusCode(r.status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(models.HeaderFate, string(r.fate))
	ctx.Response.Header.Set(models.HeaderRequestID, c.id)
	if r.retryAfter > 0 {
		seconds := int((r.retryAfter + time.Second - 1) / time.Second)
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	ctx.SetBody(r.body(c.id))
}
