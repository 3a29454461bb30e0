package retry

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// refillFraction is the part of the limit that comes in evenly, burstPart the part that may be saved. What a window holds is what was saved
	// before it and what came in during it, so that both together are the whole limit, however often processes start without savings.
	refillFraction = 0.5
	burstFraction  = 1 - refillFraction
	// windowSlots is the number of parts of a window; the oldest part is forgotten as a whole.
	windowSlots = 10
)

// Limit is what all instances together may repeat for a service.
type Limit struct {
	// Window is the time over which requests and repeats are counted.
	Window time.Duration
	// Share is the number of repeats for each request in a Window.
	Share float64
	// Fixed is the number of repeats in a Window besides, of which each instance has an equal part.
	Fixed float64
}

// Budget is an instance's part of a Limit, for each service by itself: a token bucket that is empty when the process starts. Several
// goroutines may use it.
type Budget struct {
	mu      sync.Mutex
	limit   Limit
	started time.Time
	buckets map[string]*bucket
}

// Allowance is what a Budget has for a service at a moment.
type Allowance struct {
	// Requests are those of the last window.
	Requests int
	// Fixed is the instance's part of the repeats that are allowed besides a share of the requests.
	Fixed float64
	// Left is the number of repeats that are left; the part of one counts.
	Left float64
}

// NewBudget returns the part of an instance whose process has just started.
func NewBudget(limit Limit, now time.Time) *Budget {
	return &Budget{limit: limit, started: now, buckets: map[string]*bucket{}}
}

// SetLimit replaces the Limit; what was saved is cut to what the new one lets be saved.
func (b *Budget) SetLimit(limit Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	for _, k := range b.buckets {
		k.requests.setSlot(limit.Window / windowSlots)
	}
}

// Request counts a request for a service; instances is the number of those that share the Limit.
func (b *Budget) Request(service string, instances int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service)
	k.refill(b.limit, instances, now)
	k.requests.Add(now)
	k.tokens += refillFraction * b.limit.Share
}

// Take takes a repeat for a service and reports whether it is allowed; instances is the number of those that share the Limit.
func (b *Budget) Take(service string, instances int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service)
	k.refill(b.limit, instances, now)
	if k.tokens < 1 {
		return false
	}
	k.tokens--
	return true
}

// Allowance returns what there is for a service; instances is the number of those that share the Limit.
func (b *Budget) Allowance(service string, instances int, now time.Time) Allowance {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service)
	k.refill(b.limit, instances, now)
	return Allowance{Requests: k.requests.Sum(now), Fixed: b.limit.Fixed / float64(instances), Left: k.tokens}
}

// Services returns the names of the services that had requests.
func (b *Budget) Services() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.buckets))
}

// bucket returns the bucket of a service; the caller holds the lock.
func (b *Budget) bucket(service string) *bucket {
	k := b.buckets[service]
	if k == nil {
		k = &bucket{refilledAt: b.started, requests: NewTally(windowSlots, b.limit.Window/windowSlots)}
		b.buckets[service] = k
	}
	return k
}

// bucket holds the repeats that one service may still have.
type bucket struct {
	tokens float64
	// refilledAt is up to when the fixed part has come in.
	refilledAt time.Time
	// requests are those of at most one window.
	requests *Tally
}

// refill lets the fixed part come in and forgets what is more than may be saved. It goes before the count of a request, so that
// what may be saved follows from requests before the moment only.
func (k *bucket) refill(limit Limit, instances int, now time.Time) {
	fixed := limit.Fixed / float64(instances)
	k.tokens += refillFraction * fixed * now.Sub(k.refilledAt).Seconds() / limit.Window.Seconds()
	k.refilledAt = now
	k.tokens = min(k.tokens, burstFraction*(limit.Share*float64(k.requests.Sum(now))+fixed))
}
