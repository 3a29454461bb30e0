package entry

import (
	"context"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/claim"
	"junctioncross/intent"
	"junctioncross/models"
	"junctioncross/service"
)

// service forwards a call to a plain service. If the call must run at most once and has an idempotency key, it claims the key
// first.
func (h *Handler) service(ctx *fasthttp.RequestCtx, c *call) *refusal {
	name := ctx.UserValue("name").(string)
	s := c.snapshot.Index().Document().Service(name)
	if s == nil {
		return notRun(fasthttp.StatusNotFound, models.ReasonUnknownService, "no service "+name)
	}
	runCtx, cancel := context.WithTimeout(context.Background(), h.requestTimeout)
	defer cancel()
	path := "/" + ctx.UserValue("path").(string)
	mayRetry := service.MayRetry(s, string(ctx.Method()), path)
	key := string(ctx.Request.Header.Peek(models.HeaderIdempotencyKey))
	if mayRetry || key == "" {
		return h.forwardCall(runCtx, ctx, c, s, path, mayRetry)
	}
	keyClaim := claim.Claim{Key: c.account.Name() + "/" + name + "/" + key, BodyHash: bodyHash(ctx, path), Request: c.id}
	if r := h.claimKey(runCtx, keyClaim); r != nil {
		return r
	}
	r := h.forwardCall(runCtx, ctx, c, s, path, false)
	h.recordOutcome(keyClaim, ctx, r)
	return r
}

func bodyHash(ctx *fasthttp.RequestCtx, path string) uint64 {
	d := xxhash.New()
	_, _ = d.Write(ctx.Method())
	_, _ = d.WriteString(path)
	_, _ = d.Write(ctx.URI().QueryString())
	_, _ = d.Write(ctx.PostBody())
	return d.Sum64()
}

// claimKey claims the idempotency key, so that no other request runs under it; it returns a refusal if this request may not run.
func (h *Handler) claimKey(ctx context.Context, c claim.Claim) *refusal {
	verdict, err := h.claims.Submit(ctx, c)
	if errors.Is(err, claim.ErrOutcomeUnknown) {
		return notRun(fasthttp.StatusServiceUnavailable, models.ReasonClaimUnsure, "it is not known whether the key was claimed; the request was not sent")
	}
	if err != nil {
		return notRun(fasthttp.StatusServiceUnavailable, models.ReasonClaimUnavailable, "the key cannot be claimed now; the request was not sent")
	}
	switch v := verdict.(type) {
	case claim.Granted:
		return nil
	case claim.Reused:
		return notRun(fasthttp.StatusUnprocessableEntity, models.ReasonKeyReused, "the idempotency key stands for another request")
	case claim.Duplicate:
		return duplicateRefusal(v)
	default:
		return notRun(fasthttp.StatusInternalServerError, models.ReasonClaimUnsure, "unknown verdict")
	}
}

func duplicateRefusal(d claim.Duplicate) *refusal {
	r := &refusal{status: fasthttp.StatusConflict, reason: models.ReasonDuplicate, fate: models.FateUnknown}
	r.message = "a request with this idempotency key was accepted before; its outcome is not known"
	if d.Status != 0 {
		r.fate = models.FateRan
		r.message = "a request with this idempotency key has run; its status was " + fasthttp.StatusMessage(d.Status)
	}
	return r
}

// recordOutcome adds the outcome of the claimed request to the claim log in the background, so that a later request with the same
// key is told that this one has run. A request that was not run releases its key; one that may have run keeps the claim without
// an outcome.
func (h *Handler) recordOutcome(c claim.Claim, ctx *fasthttp.RequestCtx, r *refusal) {
	switch {
	case r == nil:
		c.Status = ctx.Response.StatusCode()
	case r.fate == models.FateNotRun:
		c.Void = true
	default:
		return
	}
	h.active.Add(1)
	go func() {
		defer h.active.Done()
		outcomeCtx, cancel := context.WithTimeout(context.Background(), service.CallTimeout)
		defer cancel()
		if _, err := h.claims.Submit(outcomeCtx, c); err != nil {
			h.stats.Counter("claim_outcomes_lost_total").Inc(1)
		}
	}()
}

// servicePath returns the path of a call at a service as it came, or the given one if the name of the service came in another form.
func servicePath(ctx *fasthttp.RequestCtx, service, path string) string {
	if raw, found := strings.CutPrefix(string(ctx.URI().PathOriginal()), "/services/"+service+"/"); found {
		return "/" + raw
	}
	return path
}

func (h *Handler) forwardCall(runCtx context.Context, ctx *fasthttp.RequestCtx, c *call, s *intent.Service, path string, mayRetry bool) *refusal {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	ctx.Request.CopyTo(req)
	req.Header.Del(fasthttp.HeaderAuthorization)
	req.Header.Set(models.HeaderRequestID, c.id)
	req.URI().SetPath(servicePath(ctx, s.Name, path))
	req.URI().SetScheme("http")
	err := h.forward.Forward(runCtx, s, req, &ctx.Response, mayRetry)
	switch {
	case err == nil:
		ctx.Response.Header.Set(models.HeaderRequestID, c.id)
		return nil
	case errors.Is(err, service.ErrNeverSent):
		return notRun(fasthttp.StatusServiceUnavailable, models.ReasonServiceFailed, "no backend server of the service could be reached")
	default:
		return &refusal{
			status: fasthttp.StatusBadGateway, reason: models.ReasonServiceFailed, fate: models.FateUnknown,
			message: "the service's answer was lost",
		}
	}
}
