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
	"junctioncross/timer"
	"junctioncross/view"
)

// container provides every part of an instance.
func container(ctx context.Context, set *config.Settings) (*dig.Container, error) {
	return provide(
		func() context.Context { return ctx },
		func() *config.Settings { return set },
		timer.NewReal, metrics.New, newErrorQueue, newLog, decision.NewRecorder, newRing, func(r *keys.CertReloader) link.Trust { return r }, newStore, newSelf, newGates, newKeeper, newClaims, newEntry, newCluster, newLeader, newLoop,
		revision.NewStore, revision.NewKeeper, view.NewSnapshotHolder, engine.NewClient, pool.New, pipeline.New,
		service.New, link.NewMux, link.NewClient, operator.New,
	)
}

// provide returns a container of the constructors.
func provide(constructors ...any) (*dig.Container, error) {
	c := dig.New()
	for _, fn := range constructors {
		if err := c.Provide(fn); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func newErrorQueue(clock *timer.Service, stats *metrics.Registry) *decision.Queue {
	return decision.NewQueue(os.Stderr, clock, stats)
}

func newLog(set *config.Settings, queue *decision.Queue) (*logrus.Logger, error) {
	return newLogger(queue, set.Log, instanceHook{name: set.Instance.Name, domain: set.Instance.Domain})
}

// newLogger returns a logger that writes JSON lines with the instance that they are of.
func newLogger(out io.Writer, set config.Log, instance instanceHook) (*logrus.Logger, error) {
	level, err := logrus.ParseLevel(set.Level)
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

// instanceHook adds the instance to every line.
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

func newRing(set *config.Settings) (*keys.CertReloader, error) {
	return keys.NewCertReloader(keys.Files{Authority: set.Keys.Authority, Certificate: set.Keys.Certificate, Key: set.Keys.Key})
}

func newStore(set *config.Settings, stats *metrics.Registry) kv.Store {
	return kv.New(set.Platform.KV, stats)
}

func newSelf(set *config.Settings, clock *timer.Service) control.Self {
	addr := set.Listen.Peers
	if set.Listen.Advertised != "" {
		addr = set.Listen.Advertised
	}
	return control.Self{
		Name: set.Instance.Name, Domain: set.Instance.Domain, PeerAddr: addr,
		Incarnation: uint64(clock.Now().UnixNano()), Seeds: set.Peers, ListAddr: set.Platform.Instances,
	}
}

func newGates(set *config.Settings, clock *timer.Service) *admit.Gates {
	return admit.NewGates(clock, set.Limits.QueueWait)
}

// entryParts are the parts that answer callers.
type entryParts struct {
	dig.In

	Board   *view.SnapshotHolder
	Gates   *admit.Gates
	Runner  *pipeline.Runner
	Forward *service.Forwarder
	Claims  claim.Claimer
	Clock   *timer.Service
	Stats   *metrics.Registry
	Record  *decision.Recorder
}

func newEntry(set *config.Settings, p entryParts) *entry.Handler {
	return entry.New(p.Board, p.Gates, p.Runner, p.Forward, p.Claims, p.Clock, p.Stats, p.Record, set.Limits.RequestTime)
}

// loopParts are the parts of the control loop.
type loopParts struct {
	dig.In

	Store  *revision.Store
	Keeper *revision.Keeper
	Board  *view.SnapshotHolder
	Gates  *admit.Gates
	Pool   *pool.Pool
	Caller *engine.Client
	Links  *link.Client
	Clock  *timer.Service
	Stats  *metrics.Registry
	Log    *logrus.Logger
}

func newLoop(ctx context.Context, self control.Self, mux *link.Mux, p loopParts) *control.Loop {
	loop := control.New(ctx, self, control.Deps{
		Store: p.Store, Keeper: p.Keeper, Board: p.Board, Gates: p.Gates, Pool: p.Pool, Engines: p.Caller,
		Links: p.Links, Clock: p.Clock, Stats: p.Stats, Log: p.Log,
	})
	loop.Register(mux)
	return loop
}

func newCluster(loop *control.Loop, links *link.Client, set *config.Settings) *operator.Cluster {
	return operator.NewCluster(loop, links, set.Instance.Domain)
}

func newLeader(
	ctx context.Context, loop *control.Loop, store kv.Store, self control.Self, caller *engine.Client,
	clock *timer.Service, stats *metrics.Registry, log *logrus.Logger,
) *order.Leader {
	return order.New(ctx, loop, order.NewLease(store, clock, self.Domain, self.Process()), caller, clock, stats, log)
}
