package app

import (
	"context"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/dig"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/census"
	"junctioncross/chart"
	"junctioncross/config"
	"junctioncross/decision"
	"junctioncross/follow"
	"junctioncross/forward"
	"junctioncross/front"
	"junctioncross/keys"
	"junctioncross/leader"
	"junctioncross/link"
	"junctioncross/metrics"
	"junctioncross/platform"
	"junctioncross/quarantine"
	"junctioncross/relay"
	"junctioncross/retry"
	"junctioncross/timer"
)

const (
	// memoryShare is the part of the allowed memory at which the runtime collects garbage without regard to its cost; the
	// rest is left for stacks, buffers of the network and bursts.
	memoryShare = 0.6
	// keysShare is the part of the revocation time for which confirmed keys are accepted; the rest covers a watch that was
	// deaf for a second and the way of the request to its server.
	keysShare = 0.72
	// repeatsShare is the part of the allowed repeats that is used; the rest covers repeats that arrive later than they were
	// allowed, and instances that have come and are not counted yet.
	repeatsShare = 0.9
	// stopMargin is how long before the end of the grace time the process ends by itself.
	stopMargin = 400 * time.Millisecond
	// stopPeriod is how often a stopping instance looks whether it is done.
	stopPeriod = 50 * time.Millisecond
	// noticeTime is how long the balancer may go on sending connections after readiness fails: two checks, one a second.
	noticeTime = 3 * time.Second
)

// hosted is a running instance in front of a platform's backend servers.
type hosted struct {
	dig.In

	Set     *config.Hosted
	Front   *front.Server
	Handler *forward.Handler
	Loop    *follow.Loop
	Leader  *leader.Leader
	Census  *census.Census
	Rolls   *relay.Registry
	Relay   *relay.Source
	Links   *link.Client
	Trust   link.Trust
	Stats   *metrics.Registry
	Checks  *checks
	Queue   *decision.Queue
	Clock   *timer.Service
	Log     *logrus.Logger
}

// Reload carries new settings, or the reason why they cannot be used.
type Reload struct {
	Settings *config.Hosted
	Err      error
}

// Signals are what the process is told from outside.
type Signals struct {
	// Stop is closed when the instance is to stop.
	Stop <-chan struct{}
	// Reload delivers settings that have changed.
	Reload <-chan Reload
}

// RunHosted starts an instance and returns when it has stopped after it was told to, or could not start.
func RunHosted(set *config.Hosted, signals Signals) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(set.Memory.Megabytes) * (1 << 20)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := hostedContainer(ctx, set)
	if err != nil {
		return errors.Wrap(err, "app: wire")
	}
	var failed error
	err = c.Invoke(func(i hosted) { failed = i.run(signals) })
	if err != nil {
		return errors.Wrap(dig.RootCause(err), "app: start")
	}
	return failed
}

// hostedContainer provides every part of a hosted instance.
func hostedContainer(ctx context.Context, set *config.Hosted) (*dig.Container, error) {
	return provide(
		func() context.Context { return ctx },
		func() *config.Hosted { return set },
		func() *platform.Store { return platform.NewStore(set.Store.Addr) },
		func() call.Codec { return platform.Codec{} },
		func(s *platform.Store) relay.Store { return platform.NewFeeds(s) },
		func(s *relay.Source) follow.Source { return s },
		func(s *relay.Source) leader.Upstream { return s },
		func(s *platform.Store) leader.Lock { return platform.NewLeaderLock(s) },
		func(b *census.View) forward.Instances { return b },
		func(b *census.View) relay.Fleet { return b },
		func(b *follow.FleetView) relay.SharedReports { return b },
		func(t *quarantine.Publisher) relay.Ends { return t },
		func(t *quarantine.Publisher) forward.EndPublisher { return t },
		newBook, newQuarantineRegister, quarantine.NewPublisher,
		func(b *census.View) link.Trust { return keys.NewFleetKeyFrom(b.Key) },
		func(clock *timer.Service) backend.EngineClient { return platform.NewEngineClient(clock) },
		timer.NewSuspendable, metrics.New, follow.NewFleetView, follow.New, newQueue, newHostedLog, decision.NewRecorder, hostedTerms,
		forward.New, newFront, newOrderLeader, newChecks, newCensusBoard, newRolls, newCensus, relaySelf, relay.New, link.NewClient,
	)
}

func newQueue(clock *timer.Service, stats *metrics.Registry) *decision.Queue {
	return decision.NewQueue(os.Stdout, clock, stats)
}

func newHostedLog(set *config.Hosted, queue *decision.Queue) (*logrus.Logger, error) {
	return newLogger(queue, set.Log, instanceHook{name: set.Instance.Name, domain: set.Instance.Domain})
}

func hostedTerms(set *config.Hosted) forward.Settings {
	terms := forward.Settings{
		Domain: set.Instance.Domain, StallTime: set.Engines.StallTime,
		Repeats:   retry.Limit{Window: set.Repeats.Window, Share: repeatsShare * set.Repeats.Share, Fixed: repeatsShare * set.Repeats.Slack},
		DrainTime: set.Engines.DrainTime, LongestBackOff: set.Servers.LongestBackOff,
	}
	if set.Keys.Strict {
		terms.KeysAge = time.Duration(keysShare * float64(set.Keys.RevokeTime))
	}
	return terms
}

func newBook(set *config.Hosted) *quarantine.Book {
	q := set.Quarantine
	return quarantine.NewBook(quarantine.Settings{Ends: q.Ends, EndsOfOne: q.EndsOfOne, Keep: q.Keep, MaxRequests: q.Most})
}

func newQuarantineRegister(set *config.Hosted, store *platform.Store, clock *timer.Service) quarantine.EndStore {
	return platform.NewEndStore(store, clock, set.Quarantine.Keep)
}

func newFront(codec call.Codec, handler *forward.Handler, board *follow.FleetView, clock *timer.Service, stats *metrics.Registry) *front.Server {
	limits := func() catalog.Limits {
		if c := board.Current().Catalog(); c != nil {
			return c.Limits()
		}
		return catalog.Limits{}
	}
	return front.New(codec, handler, limits, mostConnections, clock, stats)
}

func newCensusBoard(set *config.Hosted) *census.View { return census.NewView(set.Relays.From) }

func newCensus(
	ctx context.Context, set *config.Hosted, board *census.View, rolls *relay.Registry, clock *timer.Service, stats *metrics.Registry,
	log *logrus.Logger,
) *census.Census {
	self := census.Instance{
		Name: set.Instance.Name, Domain: set.Instance.Domain, Addr: set.Listen.Peers, Power: set.Instance.Power,
	}
	newKey := func() ([]byte, error) { return keys.NewFleetKey(clock.Now()) }
	return census.New(ctx, board, rolls, self, newKey, clock, stats, log)
}

func relaySelf(set *config.Hosted) relay.Self {
	return relay.Self{
		Name: set.Instance.Name, Domain: set.Instance.Domain, Addr: set.Listen.Peers, RelaysFrom: set.Relays.From, ApplyTime: set.Relays.ApplyTime,
	}
}

func newRolls(
	self relay.Self, store *platform.Store, fleet relay.Fleet, links *link.Client, clock *timer.Service,
) *relay.Registry {
	return relay.NewRegistry(self, platform.NewInstanceRegistry(store), fleet, links, clock)
}

func newOrderLeader(
	ctx context.Context, set *config.Hosted, claim leader.Lock, place leader.Upstream, board *follow.FleetView, caller backend.EngineClient,
	clock *timer.Service, stats *metrics.Registry, log *logrus.Logger,
) *leader.Leader {
	holder := set.Instance.Name + "/" + strconv.FormatInt(clock.Now().UnixNano(), 36)
	return leader.New(ctx, claim, place, holder, board, caller, clock, stats, log)
}

func (i *hosted) run(signals Signals) error {
	defer i.Queue.Flush()
	machine := chart.New(chart.MustLoad("instance"))
	i.Log.WithFields(logrus.Fields{"callers": i.Set.Listen.Callers, "store": i.Set.Store.Addr}).Info("started")
	if err := i.Front.Listen(i.Set.Listen.Callers); err != nil {
		return err
	}
	defer i.Front.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { i.Clock.WatchSuspension(ctx, i.tellGap) }()
	if err := i.Checks.listen(); err != nil {
		return err
	}
	peers, err := i.listenPeers()
	if err != nil {
		return err
	}
	defer peers()
	for {
		select {
		case r := <-signals.Reload:
			i.reload(r)
		case <-signals.Stop:
			fire(i.Log, machine, "stop")
			return i.leave(machine)
		}
	}
}

// tellGap logs that the machine was suspended: what was heard before is as much older.
func (i *hosted) tellGap(gap time.Duration, err error) {
	if err != nil {
		i.Log.WithError(err).Error("clock not read")
		return
	}
	i.Log.WithField("gap_ms", gap.Milliseconds()).Warn("machine was suspended")
}

// listenPeers starts to answer other instances and returns what ends that; without an address there are none.
func (i *hosted) listenPeers() (func(), error) {
	if i.Set.Listen.Peers == "" {
		return func() {}, nil
	}
	mux := link.NewMux()
	i.Relay.Register(mux)
	i.Rolls.AddTo(mux)
	server, err := link.Listen(i.Set.Listen.Peers, i.Trust, mux, i.Stats, i.Log)
	if err != nil {
		return nil, err
	}
	return func() {
		i.Links.Close()
		_ = server.Close()
	}, nil
}

// reload takes over the settings that can change while the instance runs; the others need a restart.
func (i *hosted) reload(r Reload) {
	if r.Err != nil {
		i.Log.WithError(r.Err).Error("settings not reloaded, the former ones stay in force")
		return
	}
	restart := r.Settings.Listen != i.Set.Listen || r.Settings.Store != i.Set.Store || r.Settings.Instance != i.Set.Instance
	i.Handler.ApplySettings(hostedTerms(r.Settings))
	i.Log.WithField("needs_restart", restart).Info("settings reloaded")
}

// leave finishes the requests under way and ends before the grace time does.
func (i *hosted) leave(m *chart.Machine) error {
	begun := i.Clock.Now()
	end := begun.Add(i.Set.Stop.Grace - stopMargin)
	i.Log.WithFields(logrus.Fields{"running": i.Front.Running(), "grace_ms": i.Set.Stop.Grace.Milliseconds()}).Info("stopping")
	i.Checks.leave()
	i.Relay.Stop()
	i.Front.Leave()
	i.Handler.StopBy(end)
	i.Leader.Stop()
	event := chart.Event("expired")
	for i.Clock.Now().Before(end) {
		if i.Clock.Since(begun) >= noticeTime && i.Front.Running() == 0 {
			event = "idle"
			break
		}
		<-i.Clock.After(stopPeriod)
	}
	fire(i.Log, m, event)
	i.Log.WithFields(logrus.Fields{"running": i.Front.Running(), "took_ms": i.Clock.Since(begun).Milliseconds()}).Info("stopped")
	return nil
}
