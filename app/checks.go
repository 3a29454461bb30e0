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
	"junctioncross/timer"
)

// checks answers the balancer's checks and the scrapes of metrics and profiles of a hosted instance.
type checks struct {
	set     *config.Hosted
	board   *follow.FleetView
	front   *front.Server
	handler *forward.Handler
	clock   *timer.Service
	stats   *metrics.Registry
	log     *logrus.Logger
	leaving atomic.Bool
	// ready is the last answer, so that changes are logged once.
	ready atomic.Bool
}

func newChecks(
	set *config.Hosted, board *follow.FleetView, server *front.Server, handler *forward.Handler,
	clock *timer.Service, stats *metrics.Registry, log *logrus.Logger,
) *checks {
	return &checks{set: set, board: board, front: server, handler: handler, clock: clock, stats: stats, log: log}
}

// leave makes the balancer's check fail from now on.
func (c *checks) leave() { c.leaving.Store(true) }

// listen starts to answer checks and scrapes.
func (c *checks) listen() error {
	readiness := &fasthttp.Server{Handler: c.readiness, Logger: quiet{}, NoDefaultServerHeader: true, ReadTimeout: time.Minute}
	if err := serve(c.set.Listen.Readiness, readiness, nil, c.clock); err != nil {
		return err
	}
	scrapes := &fasthttp.Server{Handler: c.scrape, Logger: quiet{}, NoDefaultServerHeader: true, ReadTimeout: time.Minute}
	return serve(c.set.Listen.Metrics, scrapes, nil, c.clock)
}

func (c *checks) readiness(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != c.set.Listen.ReadyPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	reason, ready := c.state()
	if c.ready.Swap(ready) != ready {
		c.log.WithFields(logrus.Fields{
			"ready": ready, "reason": reason, "config_age_ms": c.board.KeysAge(c.clock.Now()).Milliseconds(),
		}).Info("readiness changed")
	}
	if !ready {
		ctx.Error(reason+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString(reason + "\n")
}

// state returns whether callers should come here, and why.
func (c *checks) state() (string, bool) {
	current := c.board.Current().Catalog()
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
		c.stats.Gauge("config_age_ms").Update(c.board.KeysAge(c.clock.Now()).Milliseconds())
		c.stats.Gauge("servers_age_ms").Update(c.board.ServersAge(c.clock.Now()).Milliseconds())
		c.handler.Measure()
		ctx.SetContentType("text/plain; version=0.0.4")
		if err := c.stats.Write(ctx); err != nil {
			c.log.WithError(err).Warn("metrics not written")
		}
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}
