package app

import (
	"context"
	"crypto/tls"
	"net"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"go.uber.org/dig"

	"junctioncross/chart"
	"junctioncross/config"
	"junctioncross/control"
	"junctioncross/decision"
	"junctioncross/entry"
	"junctioncross/keys"
	"junctioncross/link"
	"junctioncross/metrics"
	"junctioncross/operator"
	"junctioncross/order"
	"junctioncross/timer"
	"junctioncross/view"
)

const (
	writeTimeout = time.Minute
	operatorBody = 4 << 20
	gcPercent    = 50
	statePeriod  = 500 * time.Millisecond
)

// instance is a running entry instance.
type instance struct {
	dig.In

	Set    *config.Settings
	Entry  *entry.Handler
	Ops    *operator.Handler
	Loop   *control.Loop
	Leader *order.Leader
	Mux    *link.Mux
	Ring   *keys.CertReloader
	Board  *view.SnapshotHolder
	Clock  *timer.Service
	Stats  *metrics.Registry
	Queue  *decision.Queue
	Log    *logrus.Logger
}

// Run starts an instance and returns when it has stopped after stop was closed, or could not start.
func Run(set *config.Settings, stop <-chan struct{}) error {
	// Instances are small: a tight heap is worth more than the processor time that it costs.
	debug.SetGCPercent(gcPercent)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := container(ctx, set)
	if err != nil {
		return errors.Wrap(err, "app: wire")
	}
	var failed error
	err = c.Invoke(func(i instance) { failed = i.run(ctx, stop) })
	if err != nil {
		return errors.Wrap(dig.RootCause(err), "app: start")
	}
	return failed
}

func (i *instance) run(ctx context.Context, stop <-chan struct{}) error {
	defer i.Queue.Flush()
	machine := chart.New(chart.MustLoad("instance"))
	peers, err := link.Listen(i.Set.Listen.Peers, i.Ring, i.Mux, i.Stats, i.Log)
	if err != nil {
		return err
	}
	defer peers.Close()
	health := newHealth(i.Board, i.Entry, i.Stats)
	servers, err := i.listen(health)
	if err != nil {
		return err
	}
	i.Log.Info("started")
	i.serveUntil(stop, machine)
	fire(i.Log, machine, "stop")
	health.leave()
	i.Loop.Leave()
	i.Log.Info("stopping")
	<-i.Clock.After(i.Set.Drain.Notice)
	idle := i.Entry.Drain(i.Set.Drain.Limit)
	event := chart.Event("idle")
	if !idle {
		event = "expired"
	}
	fire(i.Log, machine, event)
	for _, s := range servers {
		_ = s.ShutdownWithContext(expiring(ctx))
	}
	i.Log.WithField("idle", idle).Info("stopped")
	return nil
}

// fire moves an instance's chart along; an event that it does not know is a fault of ours and is logged.
func fire(log *logrus.Logger, m *chart.Machine, e chart.Event) {
	if err := m.Fire(e); err != nil {
		log.WithError(err).Error("unexpected event")
	}
}

// expiring returns a context that gives open connections a moment to end.
func expiring(ctx context.Context) context.Context {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// serveUntil follows the instance's state until it is told to stop.
func (i *instance) serveUntil(stop <-chan struct{}, m *chart.Machine) {
	ticks := i.Clock.Subscribe(statePeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			i.Loop.SetLeads(i.Leader.Leads())
			if m.Can("configured") && i.Board.Current().Index() != nil {
				fire(i.Log, m, "configured")
				i.Log.Info("serving")
			}
		case <-stop:
			return
		}
	}
}

// listen opens the callers', operators' and health listeners.
func (i *instance) listen(health *health) ([]*fasthttp.Server, error) {
	callers := &fasthttp.Server{
		Handler: i.Entry.Routes(), ErrorHandler: i.Entry.HandleReadError, MaxRequestBodySize: i.Set.Limits.BodyBytes,
		ReadTimeout: i.Set.Limits.IdleTime, WriteTimeout: writeTimeout, IdleTimeout: i.Set.Limits.IdleTime,
		Concurrency: i.Set.Limits.Connections, NoDefaultServerHeader: true, ReduceMemoryUsage: true,
		Logger: quiet{}, StreamRequestBody: false,
	}
	operators := &fasthttp.Server{
		Handler: i.Ops.Routes(), MaxRequestBodySize: operatorBody, ReadTimeout: time.Minute, Logger: quiet{},
		NoDefaultServerHeader: true,
	}
	checks := &fasthttp.Server{Handler: health.handle, ReadTimeout: time.Minute, Logger: quiet{}, NoDefaultServerHeader: true}
	var callersTLS *tls.Config
	if i.Set.Keys.CallersTLS {
		callersTLS = i.Ring.Callers()
	}
	for _, l := range []struct {
		addr   string
		server *fasthttp.Server
		tls    *tls.Config
	}{
		{i.Set.Listen.Callers, callers, callersTLS},
		{i.Set.Listen.Operators, operators, i.Ring.Server()},
		{i.Set.Listen.Health, checks, nil},
	} {
		if err := serve(l.addr, l.server, l.tls, i.Clock); err != nil {
			return nil, err
		}
	}
	return []*fasthttp.Server{callers, operators, checks}, nil
}

func serve(addr string, server *fasthttp.Server, settings *tls.Config, clock *timer.Service) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return errors.Wrapf(err, "app: listen on %s", addr)
	}
	listener = entry.Lingering(tolerant(listener, clock))
	if settings != nil {
		listener = tls.NewListener(listener, settings)
	}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// quiet drops the HTTP library's own log lines, which are not JSON.
type quiet struct{}

// Printf implements fasthttp.Logger.
func (quiet) Printf(string, ...any) {}
