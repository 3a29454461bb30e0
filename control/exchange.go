package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"junctioncross/gossip"
	"junctioncross/keys"
	"junctioncross/link"
	"junctioncross/member"
	"junctioncross/revision"
)

const (
	exchangeTimeout = 1500 * time.Millisecond
	// exchangesPerUnknown is the number of exchanges of which, on average, one goes to an unknown instance while there are any.
	exchangesPerUnknown = 2
	// maxUnknownAtOnce is the maximum number of unknown instances that are contacted each time the platform's list has been read.
	maxUnknownAtOnce = 3
)

var errOtherDomain = errors.New("control: caller stands in another domain")

// Register adds the handlers for the calls of other instances.
func (l *Loop) Register(m *link.Mux) {
	link.Handle(m, link.KindExchange, l.serveExchange)
	link.Handle(m, link.KindUpdates, l.serveUpdates)
	link.Handle(m, link.KindHead, l.serveHead)
	link.Handle(m, link.KindNewerHead, l.serveNewerHead)
	link.Handle(m, link.KindSegment, l.serveSegment)
	link.Handle(m, link.KindStatus, func(context.Context, keys.Identity, empty) ([]InstanceStatus, error) {
		return l.Statuses(), nil
	})
}

func (l *Loop) serveExchange(_ context.Context, from keys.Identity, request exchangeRequest) (exchangeResponse, error) {
	if from.Domain() != l.self.Domain {
		return exchangeResponse{}, errOtherDomain
	}
	return ask(l, func(answer chan exchangeResponse) message {
		return exchangeRequested{digest: request.Digest, answer: answer}
	}), nil
}

func (l *Loop) serveUpdates(_ context.Context, from keys.Identity, request updatesRequest) (empty, error) {
	if from.Domain() != l.self.Domain {
		return empty{}, errOtherDomain
	}
	l.post(updatesArrived{updates: request.Updates})
	return empty{}, nil
}

func (l *Loop) serveHead(context.Context, keys.Identity, empty) (revision.Head, error) {
	f := l.deps.Keeper.InForce()
	if f == nil {
		return revision.Head{}, errors.New("control: no configuration")
	}
	return f.Head(), nil
}

func (l *Loop) serveNewerHead(_ context.Context, _ keys.Identity, request newerHeadRequest) (newerHeadResponse, error) {
	f := l.deps.Keeper.InForce()
	if f == nil || f.Head().Revision <= request.Above {
		return newerHeadResponse{}, nil
	}
	head := f.Head()
	return newerHeadResponse{Head: &head}, nil
}

func (l *Loop) serveSegment(_ context.Context, _ keys.Identity, hash string) ([]byte, error) {
	body, ok := l.deps.Keeper.Body(hash)
	if !ok {
		return nil, errors.New("control: no such segment")
	}
	return body, nil
}

// startExchange exchanges updates with a neighbour, or with an instance that the platform lists but gossip has not made known
// yet: otherwise two groups of instances that started separately would never learn of each other.
func (l *Loop) startExchange() {
	addrs := l.neighbourAddrs()
	if unknown := l.unknownAddrs(); len(unknown) > 0 && rand.IntN(exchangesPerUnknown) == 0 {
		addrs = unknown
	}
	if len(addrs) > 0 {
		l.exchange(addrs[rand.IntN(len(addrs))])
	}
}

// exchangeWithUnknown exchanges updates with some unknown instances immediately.
func (l *Loop) exchangeWithUnknown() {
	addrs := l.unknownAddrs()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for _, addr := range addrs[:min(len(addrs), maxUnknownAtOnce)] {
		l.exchange(addr)
	}
}

// unknownAddrs returns the addresses of unknown instances of the domain: the platform lists them, but no status of them has
// arrived.
func (l *Loop) unknownAddrs() []string {
	var out []string
	for _, line := range l.listed {
		_, known := l.members.statuses[line.Name]
		if line.Role == member.RoleEntry && line.Domain == l.self.Domain && !line.Leaving && !known {
			out = append(out, line.Addr)
		}
	}
	return out
}

// exchangeWithAll exchanges updates with all neighbours immediately instead of at the next ticks.
func (l *Loop) exchangeWithAll() {
	for _, addr := range l.neighbourAddrs() {
		l.exchange(addr)
	}
}

// neighbourAddrs returns the addresses of the neighbours, or one seed address if this instance knows no other instance.
func (l *Loop) neighbourAddrs() []string {
	var out []string
	for _, n := range l.members.neighbours {
		if addr := l.members.statuses[n].Addr; addr != "" && n != l.self.Name {
			out = append(out, addr)
		}
	}
	if len(out) > 0 {
		return out
	}
	return l.seedAddr()
}

// seedAddr returns a random address from the settings and the platform's list, as a slice of at most one element.
func (l *Loop) seedAddr() []string {
	out := l.unknownAddrs()
	for _, addr := range l.self.Seeds {
		if addr != l.self.PeerAddr {
			out = append(out, addr)
		}
	}
	if len(out) == 0 {
		return nil
	}
	return []string{out[rand.IntN(len(out))]}
}

// exchange requests updates from one instance and then sends it those that it lacks.
func (l *Loop) exchange(addr string) {
	digest := l.table.Digest()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		defer cancel()
		a, err := link.Call[exchangeRequest, exchangeResponse](ctx, l.deps.Links, addr, link.KindExchange, exchangeRequest{Digest: digest})
		if err != nil {
			l.deps.Stats.Counter("exchanges_failed_total").Inc(1)
			return
		}
		if len(a.Updates) > 0 {
			l.post(updatesArrived{updates: a.Updates})
		}
		l.push(ctx, addr, a.Digest)
	}()
}

// push sends an instance the updates that its digest shows to be missing.
func (l *Loop) push(ctx context.Context, addr string, theirs gossip.Digest) {
	updates := ask(l, func(answer chan []gossip.Update) message { return deltaRequested{digest: theirs, answer: answer} })
	if len(updates) == 0 {
		return
	}
	if _, err := link.Call[updatesRequest, empty](ctx, l.deps.Links, addr, link.KindUpdates, updatesRequest{Updates: updates}); err != nil {
		l.deps.Stats.Counter("exchanges_failed_total").Inc(1)
	}
}
