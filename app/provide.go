package app

import (
	"context"
	"io"
	"os"

	"github.com/sirupsen/logrus"
	"go.uber.org/dig"

	"junctioncross/admit"
	"junctioncross/claim"
	"junctioncross/config"
	"junctioncross/control"
	"junctioncross/decision"
	"junctioncross/engine"
	"junctioncross/entry"
	"junctioncross/keys"
	"junctioncross/kv"
	"junctioncross/link"
	"junctioncross/metrics"
	"junctioncross/operator"
	"junctioncross/order"
	"junctioncross/pipeline"
	"junctioncross/pool"
	"junctioncross/revision"
	"junctioncross/service"
	"junctioncross/supervise"
	"junctioncross/timer"
	"junctioncross/view"
)

// container returns a container with the constructors of all parts of an entry instance.
func container(ctx context.Context, settings *config.Settings) (*dig.Container, error) {
	return provide(
		func() context.Context { return ctx },
		func() *config.Settings { return settings },
		timer.NewReal, metrics.New, newStderrQueue, newLog, decision.NewRecorder, supervise.New, newCertReloader,
		func(r *keys.CertReloader) link.Trust { return r }, newStore, newSelf, newGates, newClaimLogs, newClaimer, newEntry, newCluster,
		newLeader, newLoop, revision.NewStore, revision.NewKeeper, view.NewSnapshotHolder, engine.NewClient, pool.New, pipeline.New,
		service.New, link.NewMux, link.NewClient, operator.New,
	)
}

// provide returns a container with the given constructors.
func provide(constructors ...any) (*dig.Container, error) {
	c := dig.New()
	for _, fn := range constructors {
		if err := c.Provide(fn); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func newStderrQueue(clock *timer.Service, stats *metrics.Registry) *decision.Queue {
	return decision.NewQueue(os.Stderr, clock, stats)
}

func newLog(settings *config.Settings, queue *decision.Queue) (*logrus.Logger, error) {
	return newLogger(queue, settings.Log, instanceHook{name: settings.Instance.Name, domain: settings.Instance.Domain})
}

// newLogger returns a logger that writes JSON lines, each with the name and the domain of the instance.
func newLogger(out io.Writer, settings config.Log, instance instanceHook) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(settings.Level)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(level)
	log.SetFormatter(decision.Formatter{})
	log.AddHook(instance)
	return log, nil
}

// instanceHook adds the name and the domain of the instance to every log line.
type instanceHook struct {
	name   string
	domain string
}

// Levels implements logrus.Hook.
func (instanceHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (h instanceHook) Fire(e *logrus.Entry) error {
	e.Data["instance"] = h.name
	e.Data["domain"] = h.domain
	return nil
}

func newCertReloader(settings *config.Settings) (*keys.CertReloader, error) {
	return keys.NewCertReloader(keys.Files{
		Authority: settings.Keys.Authority, Certificate: settings.Keys.Certificate, Key: settings.Keys.Key,
	})
}

func newStore(settings *config.Settings, stats *metrics.Registry) kv.Store {
	return kv.New(settings.Platform.KV, stats)
}

func newSelf(settings *config.Settings, clock *timer.Service) control.Self {
	addr := settings.Listen.Peers
	if settings.Listen.Advertised != "" {
		addr = settings.Listen.Advertised
	}
	return control.Self{
		Name: settings.Instance.Name, Domain: settings.Instance.Domain, PeerAddr: addr,
		Incarnation: uint64(clock.Now().UnixNano()), Seeds: settings.Peers, ListAddr: settings.Platform.Instances,
	}
}

func newGates(settings *config.Settings, clock *timer.Service) *admit.Gates {
	return admit.NewGates(clock, settings.Limits.QueueWait)
}

// entryDeps holds the dependencies of the handler for callers' requests.
type entryDeps struct {
	dig.In

	Snapshots *view.SnapshotHolder
	Gates     *admit.Gates
	Runner    *pipeline.Runner
	Forward   *service.Forwarder
	Claims    claim.Claimer
	Clock     *timer.Service
	Stats     *metrics.Registry
	Record    *decision.Recorder
}

func newEntry(settings *config.Settings, d entryDeps) *entry.Handler {
	return entry.New(d.Snapshots, d.Gates, d.Runner, d.Forward, d.Claims, d.Clock, d.Stats, d.Record, settings.Limits.RequestTime)
}

// loopDeps holds the dependencies of the control loop.
type loopDeps struct {
	dig.In

	Store     *revision.Store
	Keeper    *revision.Keeper
	Snapshots *view.SnapshotHolder
	Gates     *admit.Gates
	Pool      *pool.Pool
	Engines   *engine.Client
	Links     *link.Client
	Clock     *timer.Service
	Stats     *metrics.Registry
	Log       *logrus.Logger
}

func newLoop(ctx context.Context, self control.Self, mux *link.Mux, d loopDeps) *control.Loop {
	loop := control.New(ctx, self, control.Deps{
		Store: d.Store, Keeper: d.Keeper, Snapshots: d.Snapshots, Gates: d.Gates, Pool: d.Pool, Engines: d.Engines,
		Links: d.Links, Clock: d.Clock, Stats: d.Stats, Log: d.Log,
	})
	loop.Register(mux)
	return loop
}

func newCluster(loop *control.Loop, links *link.Client, settings *config.Settings) *operator.StatusCollector {
	return operator.NewStatusCollector(loop, links, settings.Instance.Domain)
}

func newLeader(
	ctx context.Context, loop *control.Loop, store kv.Store, self control.Self, engines *engine.Client,
	clock *timer.Service, stats *metrics.Registry, log *logrus.Logger,
) *order.Leader {
	return order.New(ctx, loop, order.NewLease(store, clock, self.Domain, self.Process()), engines, clock, stats, log)
}
