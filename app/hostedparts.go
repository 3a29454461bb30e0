package app

import (
	"context"
	"strconv"

	"github.com/sirupsen/logrus"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/catalog"
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
	"junctioncross/overload"
	"junctioncross/platform"
	"junctioncross/quarantine"
	"junctioncross/reach"
	"junctioncross/relay"
	"junctioncross/supervise"
	"junctioncross/timer"
	"junctioncross/tunnel"
)

func newQuarantineBook(settings *config.Hosted) *quarantine.Book {
	q := settings.Quarantine
	return quarantine.NewBook(quarantine.Settings{Ends: q.Ends, EndsOfOne: q.EndsOfOne, Keep: q.Keep, MaxRequests: q.Most})
}

// newLoadBook returns the book of the load reports of the failure domain.
func newLoadBook(settings *config.Hosted) *demand.Book {
	return demand.NewBook(settings.Instance.Domain)
}

func newEndStore(settings *config.Hosted, store *platform.Store, clock *timer.Service) quarantine.EndStore {
	return platform.NewEndStore(store, clock, settings.Quarantine.Keep)
}

func newFront(
	codec call.Codec, handler *forward.Handler, view *follow.FleetView, load *overload.Monitor, clock *timer.Service, stats *metrics.Registry,
	guard *supervise.Supervisor,
) *front.Server {
	limits := func() catalog.Limits {
		if c := view.Current().Catalog(); c != nil {
			return c.Limits()
		}
		return catalog.Limits{}
	}
	return front.New(codec, handler, limits, maxConnections, load, clock, stats, guard)
}

// newLoadMonitor returns what measures the load of this instance.
func newLoadMonitor(
	ctx context.Context, settings *config.Hosted, clock *timer.Service, stats *metrics.Registry, log *logrus.Logger,
) *overload.Monitor {
	limits := overload.Limits{
		Cores: settings.Processor.Cores, LinkMegabits: settings.Network.Megabits, MemoryMegabytes: settings.Memory.Megabytes,
	}
	return overload.New(ctx, limits, clock, stats, log)
}

func newMembershipView(settings *config.Hosted) *membership.View {
	return membership.NewView(settings.Relays.From)
}

func newMembership(
	ctx context.Context, settings *config.Hosted, view *membership.View, registry *relay.Registry, clock *timer.Service,
	stats *metrics.Registry, log *logrus.Logger,
) *membership.Membership {
	self := membership.Instance{
		Name: settings.Instance.Name, Domain: settings.Instance.Domain, Addr: settings.Listen.Peers, Power: settings.Instance.Power,
	}
	newKey := func() ([]byte, error) { return keys.NewFleetKey(clock.Now()) }
	return membership.New(ctx, view, registry, self, newKey, clock, stats, log)
}

func relaySelf(settings *config.Hosted) relay.Self {
	return relay.Self{
		Name: settings.Instance.Name, Domain: settings.Instance.Domain, Addr: settings.Listen.Peers, RelaysFrom: settings.Relays.From,
		ApplyTime: settings.Relays.ApplyTime,
	}
}

// newSharedReports returns the fleet view as the source of the reports that relays pass on, after it has told the view under which
// name and domain to pass on the findings of this instance.
func newSharedReports(view *follow.FleetView, self relay.Self) relay.SharedReports {
	view.Identify(self.Name, self.Domain)
	return view
}

func newRegistry(
	self relay.Self, store *platform.Store, fleet relay.Fleet, links *link.Client, clock *timer.Service,
	guard *supervise.Supervisor,
) *relay.Registry {
	return relay.NewRegistry(self, platform.NewInstanceRegistry(store), fleet, links, clock, guard)
}

func newOrderLeader(
	ctx context.Context, settings *config.Hosted, lock leader.Lock, upstream leader.Upstream, view *follow.FleetView,
	engines backend.EngineClient, clock *timer.Service, stats *metrics.Registry, log *logrus.Logger,
) *leader.Leader {
	holder := settings.Instance.Name + "/" + strconv.FormatInt(clock.Now().UnixNano(), 36)
	return leader.New(ctx, lock, upstream, holder, view, engines, clock, stats, log)
}

// newDialer returns what opens the connections to servers.
func newDialer(
	ctx context.Context, tunnels *tunnel.Client, view *follow.FleetView, clock *timer.Service, stats *metrics.Registry, log *logrus.Logger,
) *reach.Dialer {
	return reach.New(ctx, backend.NewDirectDialer(clock), tunnels, view, clock, stats, log)
}

func newTunnelClient(
	ctx context.Context, settings *config.Hosted, fleet *membership.View, view *follow.FleetView, links *link.StreamClient,
	clock *timer.Service, stats *metrics.Registry, guard *supervise.Supervisor,
) *tunnel.Client {
	self := tunnel.Self{Name: settings.Instance.Name, Domain: settings.Instance.Domain}
	return tunnel.NewClient(ctx, self, fleet, view, links, clock, stats, guard)
}

func newTunnelServer(
	view *follow.FleetView, paths *reach.Dialer, clock *timer.Service, stats *metrics.Registry, record *decision.Recorder,
) *tunnel.Server {
	return tunnel.NewServer(view, paths, clock, stats, record)
}
