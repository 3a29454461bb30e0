package entry

import (
	"context"
	"strings"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/admit"
	"junctioncross/models"
	"junctioncross/pipeline"
	"junctioncross/route"
	"junctioncross/share"
	"junctioncross/view"
)

func (h *Handler) chat(ctx *fasthttp.RequestCtx, c *call) *refusal {
	p, err := decodeChat(ctx.PostBody())
	if err != nil {
		return notRun(fasthttp.StatusBadRequest, models.ReasonBadRequest, err.Error())
	}
	return h.answer(ctx, c, p, chatFormat{})
}

func (h *Handler) completion(ctx *fasthttp.RequestCtx, c *call) *refusal {
	p, err := decodeCompletion(ctx.PostBody())
	if err != nil {
		return notRun(fasthttp.StatusBadRequest, models.ReasonBadRequest, err.Error())
	}
	return h.answer(ctx, c, p, completionFormat{})
}

// answer runs a completion and writes the answer, as one body or as a stream. It returns a refusal only if no part of the answer
// was written.
func (h *Handler) answer(ctx *fasthttp.RequestCtx, c *call, p completionParams, f format) *refusal {
	if c.snapshot.Index().Document().Model(p.model) == nil {
		return notRun(fasthttp.StatusNotFound, models.ReasonUnknownModel, "no model "+p.model)
	}
	if !c.account.Allows(p.model) {
		return notRun(fasthttp.StatusForbidden, models.ReasonModelNotAllowed, "the account's group may not use model "+p.model)
	}
	runCtx, cancel := context.WithTimeout(context.Background(), h.requestTimeout)
	ticket, err := h.gates.Gate(p.model).Enter(runCtx, c.account.Owner())
	if err != nil {
		cancel()
		return h.admissionRefusal(p, err)
	}
	s := newStream(c, p)
	h.active.Add(1)
	go func() {
		defer h.active.Done()
		defer cancel()
		defer ticket.Release()
		s.finish(h.runPipeline(runCtx, c, p, ticket, s))
	}()
	if first := s.first(); first != nil {
		return h.pipelineRefusal(first)
	}
	if p.stream {
		h.writeStream(ctx, c, s, f)
		return nil
	}
	return h.writeComplete(ctx, c, s, f)
}

func (h *Handler) admissionRefusal(p completionParams, err error) *refusal {
	if errors.Is(err, admit.ErrOverloaded) {
		r := notRun(fasthttp.StatusTooManyRequests, models.ReasonOverloaded, "the wait for model "+p.model+" would be too long")
		r.retryAfter = h.gates.Gate(p.model).RetryAfter()
		return r
	}
	return notRun(fasthttp.StatusGatewayTimeout, models.ReasonDeadline, "the request's time was over before it was started")
}

func (h *Handler) runPipeline(ctx context.Context, c *call, p completionParams, ticket *admit.Ticket, s *stream) error {
	q := &pipeline.Request{
		ID: c.id, Account: c.account.Name(), Model: p.model, Prompt: p.prompt, MaxTokens: p.maxTokens,
		Graph: func() *route.Graph { return h.snapshots.Current().Graph(p.model) },
	}
	charged := false
	return h.runner.Run(ctx, q, func(t pipeline.Token) error {
		cost := share.TokenCost
		if !charged {
			cost += share.PromptCost * float64(t.Prompt)
			charged = true
		}
		ticket.Charge(cost)
		h.stats.Counter("tokens_total").Inc(1)
		return s.put(t)
	})
}

// pipelineRefusal returns the refusal that reports the pipeline's error to the caller.
func (h *Handler) pipelineRefusal(err error) *refusal {
	var f *pipeline.Failure
	if !errors.As(err, &f) {
		return &refusal{status: fasthttp.StatusInternalServerError, reason: models.ReasonRetriesExhausted, fate: models.FateUnknown, message: "internal error"}
	}
	r := &refusal{status: fasthttp.StatusServiceUnavailable, reason: f.Reason(), fate: f.Fate(), message: "the answer could not be completed: " + string(f.Reason())}
	if f.Reason() == models.ReasonCallerGone {
		r.status, r.reason = fasthttp.StatusGatewayTimeout, models.ReasonDeadline
	}
	return r
}

// writeComplete waits for the complete answer and writes it as one body.
func (h *Handler) writeComplete(ctx *fasthttp.RequestCtx, c *call, s *stream, f format) *refusal {
	var text strings.Builder
	for {
		t, ok := s.next()
		if !ok {
			break
		}
		text.WriteString(t.Piece)
	}
	if err := s.err(); err != nil {
		return h.pipelineRefusal(err)
	}
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(models.HeaderRequestID, c.id)
	ctx.SetBody(f.complete(s.summary(), text.String()))
	return nil
}

func (h *Handler) models(ctx *fasthttp.RequestCtx, c *call) *refusal {
	ctx.SetContentType("application/json")
	ctx.SetBody(modelList(c.account))
	return nil
}

func modelList(a *view.Account) []byte {
	list := listBody{Object: "list", Data: []modelBody{}}
	for _, m := range a.Models() {
		list.Data = append(list.Data, modelBody{ID: m, Object: "model", OwnedBy: "junctioncross"})
	}
	return encode(list)
}
