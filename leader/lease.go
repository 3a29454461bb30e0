package leader

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"junctioncross/timer"
)

// Errors of a Claim.
var (
	// ErrTaken means that another instance holds the right to give orders.
	ErrTaken = errors.New("leader: right is taken")
	// ErrOver means that the right has ended.
	ErrOver = errors.New("leader: right has ended")
	// ErrUnavailable means that the store did not answer or turned the call away.
	ErrUnavailable = errors.New("leader: store is not available")
)

// Grant is the right to give orders.
type Grant struct {
	Lease int64
	TTL   time.Duration
}

// Claim takes and keeps the right to give orders in the platform's store.
type Claim interface {
	// Await returns true as soon as the right is free, and false when wait has passed; it returns ErrUnavailable.
	Await(ctx context.Context, wait time.Duration) (bool, error)
	// Take takes the right for holder; it returns ErrTaken or ErrUnavailable.
	Take(ctx context.Context, holder string, ttl time.Duration) (Grant, error)
	// Keep renews the right; it returns ErrOver or ErrUnavailable.
	Keep(ctx context.Context, g Grant) error
	// End gives the right back; it returns ErrUnavailable.
	End(ctx context.Context, g Grant) error
}

const (
	// leaseTTL is how long a leader that died keeps others from giving orders: a few renewals.
	leaseTTL = 2 * time.Second
	// leaseMargin is how much earlier than the store a holder takes its lease as over.
	leaseMargin = 300 * time.Millisecond
	// renewPeriod is how often a lease is renewed.
	renewPeriod = 500 * time.Millisecond
)

// lease is the right as its holder sees it; until is measured from before the call that gave it.
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
