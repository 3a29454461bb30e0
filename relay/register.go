package relay

import (
	"context"
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
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
	// lostTime is how long records count that the store has lost: their instances find that out when they renew them, and write them again.
	lostTime = 30 * time.Second
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
	// Same is true when the asker knows all; the records are left out then.
	Same    bool            `cbor:"1,keyasint,omitempty"`
	Records []census.Record `cbor:"2,keyasint,omitempty"`
	// Counts holds the numbers of instances of the domains.
	Counts map[string]int `cbor:"3,keyasint,omitempty"`
}

// Rolls counts the instances through the relay of the domain, so that the records are read once a domain and not by each instance. It
// implements census.Register.
type Rolls struct {
	census.Register
	self  Self
	fleet Fleet
	peers peers
	clock *timer.Service

	// reading is full while the records are read; roll and read are what was read last, and when.
	reading chan struct{}
	roll    census.Roll
	read    time.Time
	// lost holds the records from before the store lost writes, which count until a moment.
	lost      []census.Record
	lostUntil time.Time
}

// NewRolls returns Rolls over the records of the store.
func NewRolls(self Self, records census.Register, fleet Fleet, links *link.Client, clock *timer.Service) *Rolls {
	return &Rolls{
		Register: records, self: self, fleet: fleet, peers: linked{client: links}, clock: clock, reading: make(chan struct{}, 1),
	}
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
	if !r.self.relays(len(members), r.fleet.Instances()) || len(r.fleet.Key()) == 0 {
		return r.count(ctx, 0)
	}
	for i, w := range waysOf(r.self.Name, r.self.Domain, members) {
		if w.direct() && i == 0 {
			r.askCounts(ctx, members)
		}
		if w.direct() {
			break
		}
		if records, err := r.ask(ctx, w.addr, r.fleet.Records()); err == nil {
			return census.Roll{Records: records, Key: r.fleet.Key()}, nil
		}
	}
	return r.count(ctx, 0)
}

// ask returns the records that the one at addr has read.
func (r *Rolls) ask(ctx context.Context, addr string, known []census.Record) ([]census.Record, error) {
	ctx, cancel := r.clock.WithTimeout(ctx, rollAnswer)
	defer cancel()
	told, err := r.peers.roll(ctx, addr, rollAsked{Known: digest(known)})
	if err != nil {
		return nil, err
	}
	r.fleet.NoteCounts(told.Counts)
	if told.Same {
		return known, nil
	}
	return told.Records, nil
}

// askCounts asks the relay of each other domain how many instances it counts there.
func (r *Rolls) askCounts(ctx context.Context, members []census.Instance) {
	ctx, cancel := r.clock.WithTimeout(ctx, rollAnswer)
	defer cancel()
	var all sync.WaitGroup
	for domain, list := range ranked(members) {
		if domain == r.self.Domain {
			continue
		}
		all.Go(func() {
			told, err := r.peers.roll(ctx, list[0].Addr, rollAsked{Known: digest(r.fleet.Records())})
			if err == nil {
				r.fleet.NoteCounts(map[string]int{domain: told.Counts[domain]})
			}
		})
	}
	all.Wait()
}

func (r *Rolls) serve(ctx context.Context, q rollAsked) (rollTold, error) {
	ctx, cancel := context.WithTimeout(ctx, rollAnswer)
	defer cancel()
	roll, err := r.count(ctx, rollTime)
	switch {
	case err != nil || len(roll.Records) == 0:
		return rollTold{}, errNotCounted
	case digest(roll.Records) == q.Known:
		return rollTold{Same: true, Counts: r.fleet.Counts()}, nil
	default:
		return rollTold{Records: roll.Records, Counts: r.fleet.Counts()}, nil
	}
}

// count returns what the records told within an age; those that ask at the same moment share one reading.
func (r *Rolls) count(ctx context.Context, age time.Duration) (census.Roll, error) {
	select {
	case r.reading <- struct{}{}:
	case <-ctx.Done():
		return census.Roll{}, errors.Wrap(errNotCounted, ctx.Err().Error())
	}
	defer func() { <-r.reading }()
	if !r.read.IsZero() && len(r.roll.Records) > 0 && len(r.roll.Key) > 0 && r.clock.Since(r.read) < age {
		return r.roll, nil
	}
	begun := r.clock.Now()
	roll, err := r.Register.List(ctx)
	if err == nil {
		roll = r.withLost(roll)
		r.roll, r.read = roll, begun
	}
	return roll, err
}

// withLost adds the records that the store has lost, for a while: limits that all share must not be divided by the instances that are left in
// it. Nobody has written to their slots, as far as known. The caller is the one that reads.
func (r *Rolls) withLost(roll census.Roll) census.Roll {
	now := r.clock.Now()
	if !r.read.IsZero() && roll.Era > r.roll.Era {
		r.lost, r.lostUntil = r.roll.Records, now.Add(lostTime)
	}
	if !now.Before(r.lostUntil) {
		r.lost = nil
		return roll
	}
	listed := make(map[string]bool, len(roll.Records))
	for _, one := range roll.Records {
		listed[one.Name] = true
	}
	roll.Records = slices.Clone(roll.Records)
	for _, one := range r.lost {
		if !listed[one.Name] {
			one.Revision = 0
			roll.Records = append(roll.Records, one)
		}
	}
	return roll
}

// digest tells two lists of records apart whatever their order.
func digest(records []census.Record) uint64 {
	lines := make([]string, len(records))
	for i, r := range records {
		lines[i] = r.Name + " " + r.Addr + " " + strconv.FormatInt(r.Revision, 10)
	}
	sort.Strings(lines)
	h := fnv.New64a()
	for _, l := range lines {
		_, _ = h.Write([]byte(l + "\n"))
	}
	return h.Sum64()
}
