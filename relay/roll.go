package relay

import (
	"context"
	"fmt"
	"hash/fnv"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"junctioncross/census"
	"junctioncross/keys"
	"junctioncross/link"
	"junctioncross/timer"
)

const (
	// rollTime is how old a count may be that is passed on: instances that start together are all counted by one reading a domain.
	rollTime = 3 * time.Second
	// rollAnswer is how long the answer of another instance may take: a reading of the records at a slow store.
	rollAnswer = 700 * time.Millisecond
)

// errNotCounted means that the records could not be read for another instance.
var errNotCounted = errors.New("relay: instances not counted")

// rollAsked asks an instance who there is.
type rollAsked struct {
	// Known is the digest of what the asker knows.
	Known uint64 `cbor:"1,keyasint"`
}

// rollTold answers rollAsked.
type rollTold struct {
	// Same is true when the asker knows all; the members are left out then.
	Same    bool              `cbor:"1,keyasint,omitempty"`
	Members []census.Instance `cbor:"2,keyasint,omitempty"`
}

// Rolls counts the instances through the relay of the domain, so that the records are read once a domain and not by each of the instances
// that they name: otherwise the pages that are read grow with the square of the fleet. It implements census.Register.
type Rolls struct {
	census.Register
	self  Self
	fleet Fleet
	links *link.Client
	clock *timer.Service

	mu   sync.Mutex
	roll census.Roll
	read time.Time
}

// NewRolls returns Rolls over the records of the store.
func NewRolls(self Self, records census.Register, fleet Fleet, links *link.Client, clock *timer.Service) *Rolls {
	return &Rolls{Register: records, self: self, fleet: fleet, links: links, clock: clock}
}

// AddTo adds the call for the count to those that the instance answers.
func (r *Rolls) AddTo(mux *link.Mux) {
	link.Handle(mux, link.KindRoll, func(ctx context.Context, _ keys.Identity, q rollAsked) (rollTold, error) {
		return r.serve(ctx, q)
	})
}

// List implements census.Register.
func (r *Rolls) List(ctx context.Context) (census.Roll, error) {
	members := r.fleet.Members()
	if !r.self.relays(len(members)) || len(r.fleet.Key()) == 0 {
		return r.count(ctx)
	}
	for _, w := range waysOf(r.self.Name, r.self.Domain, members) {
		if w.direct() {
			break
		}
		if told, err := r.ask(ctx, w.addr, members); err == nil {
			return census.Roll{Members: told, Key: r.fleet.Key()}, nil
		}
	}
	return r.count(ctx)
}

// ask returns the instances that the one at addr has counted.
func (r *Rolls) ask(ctx context.Context, addr string, known []census.Instance) ([]census.Instance, error) {
	ctx, cancel := r.clock.WithTimeout(ctx, rollAnswer)
	defer cancel()
	told, err := link.Call[rollAsked, rollTold](ctx, r.links, addr, link.KindRoll, rollAsked{Known: digest(known)})
	if err != nil {
		return nil, err
	}
	if told.Same {
		return known, nil
	}
	return told.Members, nil
}

func (r *Rolls) serve(ctx context.Context, q rollAsked) (rollTold, error) {
	ctx, cancel := context.WithTimeout(ctx, rollAnswer)
	defer cancel()
	roll, err := r.count(ctx)
	switch {
	case err != nil || len(roll.Members) == 0:
		return rollTold{}, errNotCounted
	case digest(roll.Members) == q.Known:
		return rollTold{Same: true}, nil
	default:
		return rollTold{Members: roll.Members}, nil
	}
}

// count returns what the records told within rollTime; those that ask at the same moment share one reading.
func (r *Rolls) count(ctx context.Context) (census.Roll, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.read.IsZero() && len(r.roll.Members) > 0 && len(r.roll.Key) > 0 && r.clock.Since(r.read) < rollTime {
		return r.roll, nil
	}
	begun := r.clock.Now()
	roll, err := r.Register.List(ctx)
	if err == nil {
		r.roll, r.read = roll, begun
	}
	return roll, err
}

// digest tells two lists of instances apart whatever their order.
func digest(members []census.Instance) uint64 {
	lines := make([]string, len(members))
	for i, m := range members {
		lines[i] = fmt.Sprintln(m)
	}
	sort.Strings(lines)
	h := fnv.New64a()
	for _, l := range lines {
		_, _ = h.Write([]byte(l))
	}
	return h.Sum64()
}
