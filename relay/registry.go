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

	"junctioncross/keys"
	"junctioncross/lenient"
	"junctioncross/link"
	"junctioncross/membership"
	"junctioncross/supervise"
	"junctioncross/timer"
)

const (
	// maxSnapshotAge is the greatest age of a snapshot that is passed on to other instances. One read in each domain is enough
	// for all instances that start together.
	maxSnapshotAge = 3 * time.Second
	// recordsTimeout bounds a call to another instance for the records, which includes a read from a slow store.
	recordsTimeout = 700 * time.Millisecond
	// lostRecordTTL is how long records that the store has lost still count. Their instances find out at their next renewal and
	// write them again.
	lostRecordTTL = 30 * time.Second
)

// errNoRecords means that the records could not be read on behalf of another instance.
var errNoRecords = errors.New("relay: instances not counted")

// recordsRequest requests the registration records from another instance.
type recordsRequest struct {
	// Known is the digest of the records that the requesting instance knows.
	Known uint64 `cbor:"1,keyasint"`
}

// recordsReply is the answer to a request for the records.
type recordsReply struct {
	// Same is true if the requesting instance knows all records already; Records is empty then.
	Same    bool                            `cbor:"1,keyasint,omitempty"`
	Records lenient.List[membership.Record] `cbor:"2,keyasint,omitempty"`
	// Counts holds the number of instances of each domain.
	Counts map[string]int `cbor:"3,keyasint,omitempty"`
}

// Registry is a membership.Registry that reads the registration records through the relay of the domain, so that they are read
// from the store once for each domain and not by each instance.
type Registry struct {
	membership.Registry
	self  Self
	fleet Fleet
	peers peers
	clock *timer.Service
	guard *supervise.Supervisor

	// readLock is a semaphore that is held during a read; snapshot and readAt are the result and the time of the last read.
	readLock chan struct{}
	snapshot membership.Snapshot
	readAt   time.Time
	// lostRecords holds the records from before the store lost writes; they count up to lostUntil.
	lostRecords []membership.Record
	lostUntil   time.Time
}

// NewRegistry wraps the registry of the store: it lists the records through relays and passes all other calls on.
func NewRegistry(
	self Self, records membership.Registry, fleet Fleet, links *link.Client, clock *timer.Service, guard *supervise.Supervisor,
) *Registry {
	return &Registry{
		Registry: records, self: self, fleet: fleet, peers: linkPeers{client: links}, clock: clock, guard: guard,
		readLock: make(chan struct{}, 1),
	}
}

// AddTo adds the handler of requests for the records to the calls that the instance answers.
func (r *Registry) AddTo(mux *link.Mux) {
	link.Handle(mux, link.KindRecords, func(ctx context.Context, _ keys.Identity, q recordsRequest) (recordsReply, error) {
		return r.serve(ctx, q)
	})
}

// List implements membership.Registry.
func (r *Registry) List(ctx context.Context) (membership.Snapshot, error) {
	members := r.fleet.Members()
	if !r.self.usesRelays(len(members), r.fleet.Instances()) || len(r.fleet.Key()) == 0 {
		return r.readRecords(ctx, 0)
	}
	for i, u := range upstreamsOf(r.self.Name, r.self.Domain, members) {
		if u.direct() && i == 0 {
			r.fetchCounts(ctx, members)
		}
		if u.direct() {
			break
		}
		if records, err := r.fetchRecords(ctx, u.addr, r.fleet.Records()); err == nil {
			return membership.Snapshot{Records: records, Key: r.fleet.Key()}, nil
		}
	}
	return r.readRecords(ctx, 0)
}

// fetchRecords requests the records from the instance at addr; known is returned if they are unchanged.
func (r *Registry) fetchRecords(ctx context.Context, addr string, known []membership.Record) ([]membership.Record, error) {
	ctx, cancel := r.clock.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	reply, err := r.peers.records(ctx, addr, recordsRequest{Known: digest(known)})
	if err != nil {
		return nil, err
	}
	r.fleet.NoteCounts(reply.Counts)
	if reply.Same {
		return known, nil
	}
	return reply.Records, nil
}

// fetchCounts asks the relay of each other domain for the number of instances that it counts there.
func (r *Registry) fetchCounts(ctx context.Context, members []membership.Instance) {
	ctx, cancel := r.clock.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	var all sync.WaitGroup
	for domain, list := range ranked(members) {
		if domain == r.self.Domain {
			continue
		}
		all.Go(func() {
			r.guard.Call(partName, supervise.NoWork, func() { r.fetchCount(ctx, domain, list[0].Addr) })
		})
	}
	all.Wait()
}

// fetchCount asks the relay of one domain.
func (r *Registry) fetchCount(ctx context.Context, domain, addr string) {
	reply, err := r.peers.records(ctx, addr, recordsRequest{Known: digest(r.fleet.Records())})
	if err == nil {
		r.fleet.NoteCounts(map[string]int{domain: reply.Counts[domain]})
	}
}

func (r *Registry) serve(ctx context.Context, q recordsRequest) (recordsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	snapshot, err := r.readRecords(ctx, maxSnapshotAge)
	switch {
	case err != nil || len(snapshot.Records) == 0:
		return recordsReply{}, errNoRecords
	case digest(snapshot.Records) == q.Known:
		return recordsReply{Same: true, Counts: r.fleet.Counts()}, nil
	default:
		return recordsReply{Records: snapshot.Records, Counts: r.fleet.Counts()}, nil
	}
}

// readRecords returns a snapshot of at most the given age; concurrent calls share one read.
func (r *Registry) readRecords(ctx context.Context, age time.Duration) (membership.Snapshot, error) {
	select {
	case r.readLock <- struct{}{}:
	case <-ctx.Done():
		return membership.Snapshot{}, errors.Wrap(errNoRecords, ctx.Err().Error())
	}
	defer func() { <-r.readLock }()
	if !r.readAt.IsZero() && len(r.snapshot.Records) > 0 && len(r.snapshot.Key) > 0 && r.clock.Since(r.readAt) < age {
		return r.snapshot, nil
	}
	startedAt := r.clock.Now()
	snapshot, err := r.Registry.List(ctx)
	if err == nil {
		snapshot = r.withLostRecords(snapshot)
		r.snapshot, r.readAt = snapshot, startedAt
	}
	return snapshot, err
}

// withLostRecords adds the records that the store has lost until lostUntil: shared limits must not be divided by only the
// instances whose records are left. Their slots are marked as free, since no other record is known there. The caller holds
// readLock.
func (r *Registry) withLostRecords(snapshot membership.Snapshot) membership.Snapshot {
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

// digest returns a hash of the names, addresses and revisions of records that does not depend on their order.
func digest(records []membership.Record) uint64 {
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
