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
	"junctioncross/supervise"
	"junctioncross/timer"
	"junctioncross/view"
)

const (
	// writeMargin is added to the time that a request may take, so that no answer ends for the time that it takes to write it.
	writeMargin     = time.Minute
	maxOperatorBody = 4 << 20
	gcPercent       = 50
	// statePeriod is how often an instance checks whether it leads and whether it has its first configuration.
	statePeriod = 500 * time.Millisecond
)

// instance is a running entry instance.
type instance struct {
	dig.In

	Settings  *config.Settings
	Entry     *entry.Handler
	Ops       *operator.Handler
	Loop      *control.Loop
	Leader    *order.Leader
	Mux       *link.Mux
	Certs     *keys.CertReloader
	Snapshots *view.SnapshotHolder
	Clock     *timer.Service
	Stats     *metrics.Registry
	Queue     *decision.Queue
	Log       *logrus.Logger
	Guard     *supervise.Supervisor
}

// Run runs an entry instance until stop is closed and it has stopped; it returns an error if the instance cannot start.
func Run(settings *config.Settings, stop <-chan struct{}) error {
	// Instances are small: a small heap is worth more than the processor time that collecting garbage more often costs.
	debug.SetGCPercent(gcPercent)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := container(ctx, settings)
	if err != nil {
		return errors.Wrap(err, "app: wire")
	}
	var runErr error
	err = c.Invoke(func(i instance) { runErr = i.run(ctx, stop) })
	if err != nil {
		return errors.Wrap(dig.RootCause(err), "app: start")
	}
	return runErr
}

func (i *instance) run(ctx context.Context, stop <-chan struct{}) error {
	defer i.Queue.Flush()
	machine := chart.New(chart.MustLoad("instance"))
	peers, err := link.Listen(i.Settings.Listen.Peers, i.Certs, i.Mux, i.Stats, i.Log, i.Guard)
	if err != nil {
		return err
	}
	defer peers.Close()
	health := newHealth(i.Snapshots, i.Entry, i.Stats)
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
	<-i.Clock.After(i.Settings.Drain.Notice)
	idle := i.Entry.Drain(i.Settings.Drain.Limit)
	event := chart.Event("idle")
	if !idle {
		event = "expired"
	}
	fire(i.Log, machine, event)
	for _, s := range servers {
		_ = s.ShutdownWithContext(shutdownContext(ctx))
	}
	i.Log.WithField("idle", idle).Info("stopped")
	return nil
}

// fire applies an event to an instance's state machine; an event that its state does not allow is a bug and is logged.
func fire(log *logrus.Logger, m *chart.Machine, e chart.Event) {
	if err := m.Fire(e); err != nil {
		log.WithError(err).Error("unexpected event")
	}
}

// shutdownContext returns a context that ends after a second, which is the time that open connections get to close.
func shutdownContext(ctx context.Context) context.Context {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// serveUntil tells the control loop whether this instance leads, and enters the state serving when there is a configuration,
// until stop is closed.
func (i *instance) serveUntil(stop <-chan struct{}, m *chart.Machine) {
	ticks := i.Clock.Subscribe(statePeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
			i.Loop.SetLeads(i.Leader.Leads())
			if m.Can("configured") && i.Snapshots.Current().Index() != nil {
				fire(i.Log, m, "configured")
				i.Log.Info("serving")
			}
		case <-stop:
			return
		}
	}
}

// listen starts the listeners for callers, operators and health checks.
func (i *instance) listen(health *health) ([]*fasthttp.Server, error) {
	callers := callersServer(&i.Settings.Limits, i.Entry.Routes(), i.Entry.HandleReadError)
	operators := &fasthttp.Server{
		Handler: i.Ops.Routes(), MaxRequestBodySize: maxOperatorBody, ReadTimeout: time.Minute, Logger: discardLogger{},
		NoDefaultServerHeader: true,
	}
	checks := &fasthttp.Server{
		Handler: health.handle, ReadTimeout: time.Minute, Logger: discardLogger{}, NoDefaultServerHeader: true,
	}
	var callersTLS *tls.Config
	if i.Settings.Keys.CallersTLS {
		callersTLS = i.Certs.Callers()
	}
	for _, l := range []struct {
		addr   string
		server *fasthttp.Server
		tls    *tls.Config
	}{
		{i.Settings.Listen.Callers, callers, callersTLS},
		{i.Settings.Listen.Operators, operators, i.Certs.Server()},
		{i.Settings.Listen.Health, checks, nil},
	} {
		if err := serve(l.addr, l.server, l.tls, i.Clock); err != nil {
			return nil, err
		}
	}
	return []*fasthttp.Server{callers, operators, checks}, nil
}

// callersServer returns the server for callers.
func callersServer(
	limits *config.Limits, handler fasthttp.RequestHandler, onReadError func(ctx *fasthttp.RequestCtx, err error),
) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, ErrorHandler: onReadError, MaxRequestBodySize: limits.BodyBytes, ReadTimeout: limits.IdleTime,
		WriteTimeout: limits.RequestTime + writeMargin, IdleTimeout: limits.IdleTime, Concurrency: limits.Connections,
		NoDefaultServerHeader: true, ReduceMemoryUsage: true, Logger: discardLogger{}, StreamRequestBody: false,
		DisablePreParseMultipartForm: true,
	}
}

// serve starts to serve a TCP address, with TLS if tlsConfig is set.
func serve(addr string, server *fasthttp.Server, tlsConfig *tls.Config, clock *timer.Service) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return errors.Wrapf(err, "app: listen on %s", addr)
	}
	listener = entry.Lingering(withAcceptRetry(listener, clock))
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// discardLogger drops the HTTP library's own log lines, which are not JSON.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
