package app

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/dig"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/chart"
	"junctioncross/config"
	"junctioncross/decision"
	"junctioncross/demand"
	"junctioncross/follow"
	"junctioncross/forward"
	"junctioncross/front"
	"junctioncross/keys"
	"junctioncross/leader"
	"junctioncross/link"
	"junctioncross/membership"
	"junctioncross/metrics"
	"junctioncross/platform"
	"junctioncross/quarantine"
	"junctioncross/reach"
	"junctioncross/relay"
	"junctioncross/supervise"
	"junctioncross/timer"
	"junctioncross/tunnel"
)

const (
	// memoryLimitShare is the part of the allowed memory that is set as the Go runtime's memory limit, near which it collects
	// garbage whatever the cost; the rest is left for stacks, network buffers and bursts.
	memoryLimitShare = 0.6
	// keysAgeShare is the part of the revocation time for which confirmed keys are accepted; the rest covers a watch that
	// received nothing for a second, and the time that the request takes to reach its server.
	keysAgeShare = 0.72
	// retryShare is the part of the allowed retries (settings key repeats) that is used; the rest covers retries that arrive
	// later than they were allowed, and new instances that are not counted yet.
	retryShare = 0.9
	// answerMargin is how long before the end of the grace time the requests that a stopping instance accepts must be over, so that their
	// callers receive their answers.
	answerMargin = 400 * time.Millisecond
	// unbegunMargin is how long before the end of the grace time requests whose answers have not begun get their final answers, and
	// exitMargin how long before it the process ends by itself, whatever still runs.
	unbegunMargin = 200 * time.Millisecond
	exitMargin    = 100 * time.Millisecond
	// stopPollPeriod is how often a stopping instance checks whether its requests have finished.
	stopPollPeriod = 50 * time.Millisecond
	// noticeTime is how long the load balancer may go on sending connections after the readiness check fails: it takes two
	// failed checks, which it makes once a second, to take the instance out.
	noticeTime = 3 * time.Second
)

// hosted is a running instance in front of a platform's backend servers.
type hosted struct {
	dig.In

	Settings   *config.Hosted
	Front      *front.Server
	Handler    *forward.Handler
	Loop       *follow.Loop
	Leader     *leader.Leader
	Membership *membership.Membership
	Registry   *relay.Registry
	Relay      *relay.Source
	Exchange   *relay.Exchange
	Links      *link.Client
	Tunnels    *tunnel.Server
	Trust      link.Trust
	Stats      *metrics.Registry
	Checks     *checks
	Queue      *decision.Queue
	Clock      *timer.Service
	Log        *logrus.Logger
	Guard      *supervise.Supervisor
}

// Reload carries new settings, or the reason why they cannot be used.
type Reload struct {
	Settings *config.Hosted
	Err      error
}

// Signals holds the channels by which the process learns that it is to stop or that its settings have changed.
type Signals struct {
	// Stop is closed when the instance is to stop.
	Stop <-chan struct{}
	// Reload delivers settings that have changed.
	Reload <-chan Reload
}

// RunHosted runs an instance until signals.Stop is closed and it has stopped; it returns an error if the instance cannot start.
func RunHosted(settings *config.Hosted, signals Signals) error {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Memory.Megabytes) * (1 << 20)))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := hostedContainer(ctx, settings)
	if err != nil {
		return errors.Wrap(err, "app: wire")
	}
	var runErr error
	err = c.Invoke(func(i hosted) { runErr = i.run(signals) })
	if err != nil {
		return errors.Wrap(dig.RootCause(err), "app: start")
	}
	return runErr
}

// hostedContainer returns a container with the constructors of all parts of a hosted instance.
func hostedContainer(ctx context.Context, settings *config.Hosted) (*dig.Container, error) {
	return provide(
		func() context.Context { return ctx },
		func() *config.Hosted { return settings },
		func() *platform.Store { return platform.NewStore(settings.Store.Addr) },
		func() call.Codec { return platform.Codec{} },
		func(s *platform.Store) relay.Store { return platform.NewFeeds(s) },
		func(s *relay.Source) follow.Source { return s },
		func(s *relay.Source) leader.Upstream { return s },
		func(s *platform.Store) leader.Lock { return platform.NewLeaderLock(s) },
		func(b *membership.View) forward.Instances { return b },
		func(b *membership.View) quarantine.Instances { return b },
		func(b *membership.View) relay.Fleet { return b },
		newSharedReports,
		func(t *quarantine.Publisher) relay.Ends { return t },
		newLoadBook,
		func(b *demand.Book) relay.Loads { return b },
		func(t *quarantine.Publisher) forward.EndPublisher { return t },
		newQuarantineBook, newEndStore, quarantine.NewPublisher,
		func(b *membership.View) link.Trust { return keys.NewFleetKeyFrom(b.Key) },
		newTunnelClient, newTunnelServer, newDialer,
		func(d *reach.Dialer) backend.Dialer { return d },
		func(dialer backend.Dialer, clock *timer.Service) backend.EngineClient {
			return platform.NewEngineClient(dialer, clock)
		},
		timer.NewSuspendable, metrics.New, follow.NewFleetView, follow.New, newStdoutQueue, newHostedLog, decision.NewRecorder, supervise.New,
		forwardSettings, forward.New, newLoadMonitor, newFront, newOrderLeader, newChecks, newMembershipView, newRegistry, newMembership, relaySelf,
		relay.New, relay.NewExchange, link.NewClient, link.NewStreamClient,
	)
}

func newStdoutQueue(clock *timer.Service, stats *metrics.Registry) *decision.Queue {
	return decision.NewQueue(os.Stdout, clock, stats)
}

func newHostedLog(settings *config.Hosted, queue *decision.Queue) (*logrus.Logger, error) {
	return newLogger(queue, settings.Log, instanceHook{name: settings.Instance.Name, domain: settings.Instance.Domain})
}

func (i *hosted) run(signals Signals) error {
	defer i.Queue.Flush()
	machine := chart.New(chart.MustLoad("instance"))
	i.Log.WithFields(logrus.Fields{"callers": i.Settings.Listen.Callers, "store": i.Settings.Store.Addr}).Info("started")
	if err := i.Front.Listen(i.Settings.Listen.Callers); err != nil {
		return err
	}
	defer i.Front.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		i.Guard.Keep(ctx, "clock", supervise.NoWork, func(ctx context.Context) { i.Clock.WatchSuspension(ctx, i.logSuspension) })
	}()
	if err := i.Checks.listen(); err != nil {
		return err
	}
	closePeers, err := i.listenPeers()
	if err != nil {
		return err
	}
	defer closePeers()
	grace := i.Settings.Stop.Grace
	for {
		select {
		case r := <-signals.Reload:
			if i.reload(r) {
				grace = r.Settings.Stop.Grace
			}
		case <-signals.Stop:
			fire(i.Log, machine, "stop")
			return i.shutDown(machine, grace)
		}
	}
}

// logSuspension logs that the machine was suspended, in which case everything received before is older by gap, or that the
// clocks could not be read.
func (i *hosted) logSuspension(gap time.Duration, err error) {
	if err != nil {
		i.Log.WithError(err).Error("clock not read")
		return
	}
	i.Log.WithField("gap_ms", gap.Milliseconds()).Warn("machine was suspended")
}

// listenPeers starts the listener for other instances and returns a function that closes it and the links to them; without an
// address it does neither.
func (i *hosted) listenPeers() (func(), error) {
	if i.Settings.Listen.Peers == "" {
		return func() {}, nil
	}
	mux := link.NewMux()
	i.Relay.Register(mux)
	i.Registry.AddTo(mux)
	mux.HandleStreams(i.Tunnels.ServeStream)
	server, err := link.Listen(i.Settings.Listen.Peers, i.Trust, mux, i.Stats, i.Log, i.Guard)
	if err != nil {
		return nil, err
	}
	return func() {
		i.Links.Close()
		_ = server.Close()
	}, nil
}

// reload applies the settings that can change while the instance runs, and reports whether they can be used; the others need a restart.
func (i *hosted) reload(r Reload) bool {
	if r.Err != nil {
		i.Log.WithError(r.Err).Error("settings not reloaded, the former ones stay in force")
		return false
	}
	restart := r.Settings.Listen != i.Settings.Listen || r.Settings.Store != i.Settings.Store ||
		r.Settings.Instance != i.Settings.Instance
	if !i.Guard.Call("settings", supervise.NoWork, func() { i.Handler.ApplySettings(forwardSettings(r.Settings)) }) {
		return false
	}
	i.Log.WithField("needs_restart", restart).Info("settings reloaded")
	return true
}

// shutDown lets the requests in flight finish, but returns before the grace time is over.
func (i *hosted) shutDown(m *chart.Machine, grace time.Duration) error {
	start := i.Clock.Now()
	i.Log.WithFields(logrus.Fields{"running": i.Front.Running(), "grace_ms": grace.Milliseconds()}).Info("stopping")
	// A panic in one step must not keep the requests in flight from finishing.
	for _, step := range []func(){
		i.Checks.leave, i.Relay.Stop, i.Tunnels.Stop, i.Front.Leave, func() { i.Handler.StopBy(start.Add(grace - answerMargin)) }, i.Leader.Stop,
	} {
		i.Guard.Call("stop", supervise.NoWork, step)
	}
	event := chart.Event("idle")
	if !i.awaitIdle(start.Add(noticeTime), start.Add(grace-unbegunMargin)) {
		i.Guard.Call("stop", supervise.NoWork, i.Handler.EndUnbegun)
		if !i.awaitIdle(start, start.Add(grace-exitMargin)) {
			event = "expired"
		}
	}
	fire(i.Log, m, event)
	i.Log.WithFields(logrus.Fields{"running": i.Front.Running(), "took_ms": i.Clock.Since(start).Milliseconds()}).Info("stopped")
	return nil
}

// awaitIdle waits until the instance is idle, but not before the time from nor after until, and reports whether it is. An idle instance takes
// no further request.
func (i *hosted) awaitIdle(from, until time.Time) bool {
	for {
		now := i.Clock.Now()
		if !now.Before(from) && i.Tunnels.Requests() == 0 && i.Front.StopIfIdle() {
			return true
		}
		if !now.Before(until) {
			return false
		}
		<-i.Clock.After(min(stopPollPeriod, until.Sub(now)))
	}
}
