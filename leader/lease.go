package leader

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"junctioncross/timer"
)

// Errors of a Lock.
var (
	// ErrTaken means that another instance holds the leader lock.
	ErrTaken = errors.New("leader: lock is held by another instance")
	// ErrLeaseEnded means that the lease of the lock has ended.
	ErrLeaseEnded = errors.New("leader: lease of the lock has ended")
	// ErrUnavailable means that the store did not answer or rejected the call.
	ErrUnavailable = errors.New("leader: store is unavailable")
)

// Grant is the leader lock as it was granted: the store's lease that keeps it, and the time to live of that lease.
type Grant struct {
	Lease int64
	TTL   time.Duration
}

// Lock is the leader lock in the platform's store: the right to give orders to servers, held by one instance at a time
// under a lease.
type Lock interface {
	// Await returns true as soon as the lock is free, and false when wait has passed; it returns ErrUnavailable.
	Await(ctx context.Context, wait time.Duration) (bool, error)
	// Acquire acquires the lock for holder; it returns ErrTaken or ErrUnavailable.
	Acquire(ctx context.Context, holder string, ttl time.Duration) (Grant, error)
	// Renew renews the lease of the lock; it returns ErrLeaseEnded or ErrUnavailable.
	Renew(ctx context.Context, g Grant) error
	// Release releases the lock; it returns ErrUnavailable.
	Release(ctx context.Context, g Grant) error
}

const (
	// leaseTTL is the time to live of the lease, and so how long a leader that has crashed keeps others from taking over:
	// several renewal periods.
	leaseTTL = 2 * time.Second
	// leaseMargin is how much earlier than the store a holder regards its lease as ended.
	leaseMargin = 300 * time.Millisecond
	// renewPeriod is how often the lease is renewed.
	renewPeriod = 500 * time.Millisecond
)

// lease is the lock as its holder sees it. The field expires is counted from the time just before the call that acquired or
// renewed the lock, so that it is not later than in the store.
type lease struct {
	clock     *timer.Service
	grant     Grant
	expires   time.Time
	renewedAt time.Time
}

func (l *lease) held() bool { return l.grant.Lease != 0 && l.clock.Now().Before(l.expires) }

func (l *lease) acquired(g Grant, sentAt time.Time) {
	l.grant, l.renewedAt, l.expires = g, sentAt, sentAt.Add(g.TTL-leaseMargin)
}

func (l *lease) renewed(sentAt time.Time) {
	l.renewedAt, l.expires = sentAt, sentAt.Add(l.grant.TTL-leaseMargin)
}

func (l *lease) drop() { l.grant, l.expires = Grant{}, time.Time{} }
