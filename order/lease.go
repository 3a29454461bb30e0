package order

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"junctioncross/kv"
	"junctioncross/timer"
)

const (
	leaseTTL = 5 * time.Second
	// leaseMargin is how much earlier than the key-value service the holder regards its lease as expired.
	leaseMargin = 1500 * time.Millisecond
	// renewAfter is how long after its last write a lease is renewed.
	renewAfter  = 1200 * time.Millisecond
	prefixLease = "lead/"
)

// Lease is the leadership of one failure domain: a record with a TTL in the key-value service, whose holder alone gives
// orders. The fence is the revision at which that record was created.
type Lease struct {
	store  kv.Store
	clock  *timer.Service
	key    string
	holder string

	mu        sync.Mutex
	revision  kv.Revision
	fence     uint64
	until     time.Time
	heldSince time.Time
}

// NewLease returns a domain's lease, not yet held; holder names this process and incarnation.
func NewLease(store kv.Store, clock *timer.Service, domain, holder string) *Lease {
	return &Lease{store: store, clock: clock, key: prefixLease + domain, holder: holder}
}

// Held reports whether the lease is certainly held, and returns the fence and for how long it has been held.
func (l *Lease) Held() (fence uint64, heldFor time.Duration, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.fence == 0 || !now.Before(l.until) {
		return 0, 0, false
	}
	return l.fence, now.Sub(l.heldSince), true
}

// AcquireOrRenew takes the lease, or renews it if it is due. It returns the error of the key-value service; what Held returns
// is right also after an error.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	before := l.clock.Now()
	l.mu.Lock()
	expect := l.revision
	fresh := l.fence != 0 && l.until.Sub(before) > leaseTTL-leaseMargin-renewAfter
	l.mu.Unlock()
	if fresh {
		return nil
	}
	revision, err := l.store.Write(ctx, kv.Put{Key: l.key, Value: []byte(l.holder), Expect: expect, TTL: leaseTTL})
	switch {
	case err == nil:
		l.recordWrite(revision, expect, before)
		return nil
	case errors.Is(err, kv.ErrConflict), errors.Is(err, kv.ErrOutcomeUnknown):
		return l.readBack(ctx, before)
	default:
		return err
	}
}

func (l *Lease) recordWrite(revision, expect kv.Revision, before time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if expect == 0 || l.fence == 0 {
		l.fence = uint64(revision)
		l.heldSince = before
	}
	l.revision = revision
	l.until = before.Add(leaseTTL - leaseMargin)
}

// readBack reads the record after a write whose answer was lost or that conflicted, to learn who holds the lease.
func (l *Lease) readBack(ctx context.Context, before time.Time) error {
	record, err := l.store.Get(ctx, l.key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || string(record.Value) != l.holder {
		l.revision, l.fence = 0, 0
		return nil
	}
	if l.fence != uint64(record.Created) {
		l.fence = uint64(record.Created)
		l.heldSince = before
	}
	l.revision = record.Revision
	// The write may have taken effect at any moment up to now, so until stays at what was known before.
	return nil
}

// Abandon stops using the lease; its record expires by its TTL.
func (l *Lease) Abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision, l.fence = 0, 0
}
