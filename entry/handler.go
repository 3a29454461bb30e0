package entry

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/admit"
	"junctioncross/claim"
	"junctioncross/decision"
	"junctioncross/metrics"
	"junctioncross/models"
	"junctioncross/pipeline"
	"junctioncross/service"
	"junctioncross/timer"
	"junctioncross/view"
)

const requestIDBytes = 12

// Handler answers the requests of callers.
type Handler struct {
	snapshots      *view.SnapshotHolder
	gates          *admit.Gates
	runner         *pipeline.Runner
	forward        *service.Forwarder
	claims         claim.Claimer
	clock          *timer.Service
	stats          *metrics.Registry
	record         *decision.Recorder
	requestTimeout time.Duration

	draining atomic.Bool
	active   sync.WaitGroup
	running  atomic.Int64
}

// New returns a Handler; requestTimeout bounds the time of one request.
func New(
	snapshots *view.SnapshotHolder, gates *admit.Gates, runner *pipeline.Runner, forward *service.Forwarder, claims claim.Claimer,
	clock *timer.Service, stats *metrics.Registry, record *decision.Recorder, requestTimeout time.Duration,
) *Handler {
	return &Handler{
		snapshots: snapshots, gates: gates, runner: runner, forward: forward, claims: claims,
		clock: clock, stats: stats, record: record, requestTimeout: requestTimeout,
	}
}

// call is one request of a caller; it is checked against the snapshot that was current at its start.
type call struct {
	id       string
	account  *view.Account
	snapshot *view.Snapshot
	start    time.Time
	// streaming is true when the answer is written, and its end is logged, after the handler has returned.
	streaming bool
}

// fields adds the log fields that all lines on a call have.
func (h *Handler) fields(c *call, fields decision.Fields) decision.Fields {
	fields["account"], fields["held_ms"] = "", h.clock.Since(c.start).Milliseconds()
	if c.account != nil {
		fields["account"] = c.account.Name()
	}
	if index := c.snapshot.Index(); index != nil {
		fields["config"] = index.Revision()
	}
	return fields
}

// Routes returns the HTTP handler of all paths that callers use.
func (h *Handler) Routes() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/v1/chat/completions", h.serve(h.chat))
	r.POST("/v1/completions", h.serve(h.completion))
	r.GET("/v1/models", h.serve(h.models))
	r.ANY("/services/{name}/{path:*}", h.serve(h.service))
	r.NotFound = h.serve(h.notFound)
	r.MethodNotAllowed = r.NotFound
	r.HandleMethodNotAllowed = true
	return r.Handler
}

// serve returns an HTTP handler that authorizes calls, passes them to next, and writes and logs the outcome.
func (h *Handler) serve(next func(*fasthttp.RequestCtx, *call) *refusal) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		c := &call{id: newRequestID(), snapshot: h.snapshots.Current(), start: h.clock.Now()}
		if !h.enter() {
			ctx.SetConnectionClose()
			h.refuse(ctx, c, notRun(fasthttp.StatusServiceUnavailable, models.ReasonDraining, "this instance is stopping; ask another one"))
			return
		}
		defer h.leave()
		r := h.authorize(ctx, c)
		if r == nil {
			r = next(ctx, c)
		}
		switch {
		case r != nil:
			h.refuse(ctx, c, r)
		case !c.streaming:
			h.record.Routine(c.id, "finished", h.fields(c, decision.Fields{"outcome": "whole", "status": ctx.Response.StatusCode()}))
		}
	}
}

func newRequestID() string {
	var b [requestIDBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// enter counts a call that starts; it returns false, and counts nothing, once the instance refuses new calls.
func (h *Handler) enter() bool {
	h.active.Add(1)
	h.running.Add(1)
	if h.draining.Load() {
		h.leave()
		return false
	}
	return true
}

func (h *Handler) leave() {
	h.running.Add(-1)
	h.active.Done()
}

// Running returns the number of calls in progress.
func (h *Handler) Running() int { return int(h.running.Load()) }

// Drain refuses new calls and waits until those in progress are done, but no longer than limit; it reports whether all are done.
func (h *Handler) Drain(limit time.Duration) bool {
	h.draining.Store(true)
	done := make(chan struct{})
	go func() {
		h.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-h.clock.After(limit):
		return false
	}
}

func (h *Handler) authorize(ctx *fasthttp.RequestCtx, c *call) *refusal {
	index := c.snapshot.Index()
	if index == nil {
		r := notRun(fasthttp.StatusServiceUnavailable, models.ReasonNoConfiguration, "this instance has no configuration yet")
		r.retryAfter = time.Second
		return r
	}
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), "Bearer ")
	if ok {
		c.account = index.Account(key)
	}
	if c.account == nil {
		return notRun(fasthttp.StatusUnauthorized, models.ReasonUnauthorized, "the bearer key names no client account")
	}
	return nil
}

func (h *Handler) notFound(ctx *fasthttp.RequestCtx, _ *call) *refusal {
	return notRun(fasthttp.StatusNotFound, models.ReasonNotFound, "no such method and path: "+string(ctx.Method())+" "+string(ctx.Path()))
}

// HandleReadError answers a request that could not be read as HTTP.
func (h *Handler) HandleReadError(ctx *fasthttp.RequestCtx, err error) {
	c := &call{id: newRequestID(), snapshot: h.snapshots.Current(), start: h.clock.Now()}
	r := notRun(fasthttp.StatusBadRequest, models.ReasonBadRequest, "the request could not be read")
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		r = notRun(fasthttp.StatusRequestEntityTooLarge, models.ReasonBodyTooLarge, "the body is too large")
	}
	h.refuse(ctx, c, r)
	ctx.SetConnectionClose()
	linger(ctx)
}
