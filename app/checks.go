package app

import (
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"junctioncross/config"
	"junctioncross/follow"
	"junctioncross/forward"
	"junctioncross/front"
	"junctioncross/metrics"
	"junctioncross/supervise"
	"junctioncross/timer"
)

// checks serves the load balancer's readiness checks, the metrics, the load and the profiles of a hosted instance.
type checks struct {
	settings *config.Hosted
	view     *follow.FleetView
	front    *front.Server
	handler  *forward.Handler
	clock    *timer.Service
	stats    *metrics.Registry
	log      *logrus.Logger
	guard    *supervise.Supervisor
	load     *loadPage
	leaving  atomic.Bool
	// lastReady is the last answer to a readiness check; only changes are logged.
	lastReady atomic.Bool
}

func newChecks(
	settings *config.Hosted, view *follow.FleetView, server *front.Server, handler *forward.Handler,
	clock *timer.Service, stats *metrics.Registry, log *logrus.Logger, guard *supervise.Supervisor,
) *checks {
	return &checks{
		settings: settings, view: view, front: server, handler: handler, clock: clock, stats: stats, log: log, guard: guard,
		load: &loadPage{handler: handler, findings: findingsOf(handler), log: log},
	}
}

// leave makes the load balancer's readiness check fail from now on.
func (c *checks) leave() { c.leaving.Store(true) }

// listen starts the listeners for readiness checks and for metrics, load and profiles.
func (c *checks) listen() error {
	readiness := &fasthttp.Server{
		Handler: c.guarded(c.readiness), Logger: discardLogger{}, NoDefaultServerHeader: true, ReadTimeout: time.Minute,
	}
	if err := serve(c.settings.Listen.Readiness, readiness, nil, c.clock); err != nil {
		return err
	}
	scrapes := &fasthttp.Server{
		Handler: c.guarded(c.scrape), Logger: discardLogger{}, NoDefaultServerHeader: true, ReadTimeout: time.Minute,
	}
	return serve(c.settings.Listen.Metrics, scrapes, nil, c.clock)
}

// guarded returns a handler that answers with a failure where serve panics: the HTTP library recovers nothing.
func (c *checks) guarded(serve fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		work := func() supervise.Work { return supervise.Work{Record: string(ctx.Path())} }
		if !c.guard.Call("pages", work, func() { serve(ctx) }) {
			ctx.Error("this instance has failed\n", fasthttp.StatusInternalServerError)
		}
	}
}

func (c *checks) readiness(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != c.settings.Listen.ReadyPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	reason, ready := c.state()
	if c.lastReady.Swap(ready) != ready {
		c.log.WithFields(logrus.Fields{
			"ready": ready, "reason": reason, "config_age_ms": c.view.KeysAge(c.clock.Now()).Milliseconds(),
		}).Info("readiness changed")
	}
	if !ready {
		ctx.Error(reason+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString(reason + "\n")
}

// state returns whether the load balancer should send callers to this instance, and the text of the answer that says why.
func (c *checks) state() (string, bool) {
	current := c.view.Current().Catalog()
	switch {
	case c.leaving.Load():
		return "leaving", false
	case current == nil:
		return "no configuration", false
	case current.NeedsKeys() && !c.handler.KeysConfirmed():
		return "keys not confirmed", false
	}
	if c.front.Full() {
		return "no room for connections", false
	}
	if service := c.handler.ServiceWithoutPath(); service != "" {
		return "no whole path for " + service, false
	}
	return "ready", true
}

func (c *checks) scrape(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case strings.HasPrefix(path, "/debug/pprof/"):
		pprofhandler.PprofHandler(ctx)
	case path == "/metrics":
		c.stats.Gauge("requests_running").Update(int64(c.front.Running()))
		c.stats.Gauge("config_age_ms").Update(c.view.KeysAge(c.clock.Now()).Milliseconds())
		c.stats.Gauge("servers_age_ms").Update(c.view.ServersAge(c.clock.Now()).Milliseconds())
		c.handler.Measure()
		ctx.SetContentType("text/plain; version=0.0.4")
		if err := c.stats.Write(ctx); err != nil {
			c.log.WithError(err).Warn("metrics not written")
		}
	case path == "/load":
		c.load.serve(ctx, c.clock.Now())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
