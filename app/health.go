package app

import (
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"junctioncross/entry"
	"junctioncross/metrics"
	"junctioncross/view"
)

// health serves the load balancer's liveness and readiness checks, the metrics and the profiles.
type health struct {
	snapshots *view.SnapshotHolder
	entry     *entry.Handler
	stats     *metrics.Registry
	leaving   atomic.Bool
}

func newHealth(snapshots *view.SnapshotHolder, handler *entry.Handler, stats *metrics.Registry) *health {
	return &health{snapshots: snapshots, entry: handler, stats: stats}
}

// leave makes the readiness check fail from now on.
func (h *health) leave() { h.leaving.Store(true) }

func (h *health) handle(ctx *fasthttp.RequestCtx) {
	if strings.HasPrefix(string(ctx.Path()), "/debug/pprof/") {
		pprofhandler.PprofHandler(ctx)
		return
	}
	switch string(ctx.Path()) {
	case "/health/live":
		ctx.SetBodyString("live\n")
	case "/health/ready":
		h.ready(ctx)
	case "/metrics":
		h.stats.Gauge("requests_running").Update(int64(h.entry.Running()))
		ctx.SetContentType("text/plain; version=0.0.4")
		_ = h.stats.Write(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (h *health) ready(ctx *fasthttp.RequestCtx) {
	switch {
	case h.leaving.Load():
		ctx.Error("leaving\n", fasthttp.StatusServiceUnavailable)
	case h.snapshots.Current().Index() == nil:
		ctx.Error("no configuration\n", fasthttp.StatusServiceUnavailable)
	default:
		ctx.SetBodyString("ready\n")
	}
}
