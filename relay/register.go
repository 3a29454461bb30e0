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
	// maxSnapshotAge is how old a count may be that is passed on: instances that start together are all counted by one reading a domain.
	maxSnapshotAge = 3 * time.Second
	// recordsTimeout is how long the answer of another instance may take: a reading of the records at a slow store.
	recordsTimeout = 700 * time.Millisecond
	// lostRecordTTL is how long records count that the store has lost: their instances find that out when they renew them, and write them again.
	lostRecordTTL = 30 * time.Second
)

// errNoRecords means that the records could not be read for another instance.
var errNoRecords = errors.New("relay: instances not counted")

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

	// readLock is full while the records are read; roll and read are what was read last, and when.
	readLock chan struct{}
	snapshot census.Roll
	readAt   time.Time
	// lostRecords holds the records from before the store lostRecords writes, which count until a moment.
	lostRecords []census.Record
	lostUntil   time.Time
}

// NewRolls returns Rolls over the records of the store.
func NewRolls(self Self, records census.Register, fleet Fleet, links *link.Client, clock *timer.Service) *Rolls {
	return &Rolls{
		Register: records, self: self, fleet: fleet, peers: linked{client: links}, clock: clock, readLock: make(chan struct{}, 1),
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
		return r.readRecords(ctx, 0)
	}
	for i, w := range waysOf(r.self.Name, r.self.Domain, members) {
		if w.direct() && i == 0 {
			r.fetchCounts(ctx, members)
		}
		if w.direct() {
			break
		}
		if records, err := r.fetchRecords(ctx, w.addr, r.fleet.Records()); err == nil {
			return census.Roll{Records: records, Key: r.fleet.Key()}, nil
		}
	}
	return r.readRecords(ctx, 0)
}

// fetchRecords returns the records that the one at addr has read.
func (r *Rolls) fetchRecords(ctx context.Context, addr string, known []census.Record) ([]census.Record, error) {
	ctx, cancel := r.clock.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	reply, err := r.peers.roll(ctx, addr, rollAsked{Known: digest(known)})
	if err != nil {
		return nil, err
	}
	r.fleet.NoteCounts(reply.Counts)
	if reply.Same {
		return known, nil
	}
	return reply.Records, nil
}

// fetchCounts asks the relay of each other domain how many instances it counts there.
func (r *Rolls) fetchCounts(ctx context.Context, members []census.Instance) {
	ctx, cancel := r.clock.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	var all sync.WaitGroup
	for domain, list := range ranked(members) {
		if domain == r.self.Domain {
			continue
		}
		all.Go(func() {
			reply, err := r.peers.roll(ctx, list[0].Addr, rollAsked{Known: digest(r.fleet.Records())})
			if err == nil {
				r.fleet.NoteCounts(map[string]int{domain: reply.Counts[domain]})
			}
		})
	}
	all.Wait()
}

func (r *Rolls) serve(ctx context.Context, q rollAsked) (rollTold, error) {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	snapshot, err := r.readRecords(ctx, maxSnapshotAge)
	switch {
	case err != nil || len(snapshot.Records) == 0:
		return rollTold{}, errNoRecords
	case digest(snapshot.Records) == q.Known:
		return rollTold{Same: true, Counts: r.fleet.Counts()}, nil
	default:
		return rollTold{Records: snapshot.Records, Counts: r.fleet.Counts()}, nil
	}
}

// readRecords returns what the records told within an age; those that ask at the same moment share one reading.
func (r *Rolls) readRecords(ctx context.Context, age time.Duration) (census.Roll, error) {
	select {
	case r.readLock <- struct{}{}:
	case <-ctx.Done():
		return census.Roll{}, errors.Wrap(errNoRecords, ctx.Err().Error())
	}
	defer func() { <-r.readLock }()
	if !r.readAt.IsZero() && len(r.snapshot.Records) > 0 && len(r.snapshot.Key) > 0 && r.clock.Since(r.readAt) < age {
		return r.snapshot, nil
	}
	startedAt := r.clock.Now()
	snapshot, err := r.Register.List(ctx)
	if err == nil {
		snapshot = r.withLostRecords(snapshot)
		r.snapshot, r.readAt = snapshot, startedAt
	}
	return snapshot, err
}

// withLostRecords adds the records that the store has lost, for a while: limits that all share must not be divided by the instances that are left in
// it. Nobody has written to their slots, as far as known. The caller is the one that reads.
func (r *Rolls) withLostRecords(snapshot census.Roll) census.Roll {
	now := r.clock.Now()
	if !r.readAt.IsZero() && snapshot.Era > r.snapshot.Era {
		r.lostRecords, r.lostUntil = r.snapshot.Records, now.Add(lostRecordTTL)
	}
	if !now.Before(r.lostUntil) {
		r.lostRecords = nil
		return snapshot
	}
	listed := make(map[string]bool, len(snapshot.Records))
	for _, one := range snapshot.Records {
		listed[one.Name] = true
	}
	snapshot.Records = slices.Clone(snapshot.Records)
	for _, one := range r.lostRecords {
		if !listed[one.Name] {
			one.Revision = 0
			snapshot.Records = append(snapshot.Records, one)
		}
	}
	return snapshot
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
