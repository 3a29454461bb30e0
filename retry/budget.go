package retry

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// refillFraction is the fraction of the limit by which a bucket is refilled during a window, and burstFraction the fraction
	// that a bucket holds at most. The retries of a window come from what the bucket held at its beginning and from what is
	// refilled during it, so that the fractions must add up to 1. A restarted process begins with an empty bucket, so that
	// restarts never add retries.
	refillFraction = 0.5
	burstFraction  = 1 - refillFraction
	// windowSlots is the number of slots into which a window is divided for counting requests; the oldest slot is dropped as a
	// whole.
	windowSlots = 10
)

// Limit is the number of retries that all instances together may make for a service.
type Limit struct {
	// Window is the time over which requests and retries are counted.
	Window time.Duration
	// Share is the number of retries that are allowed for each request in a Window.
	Share float64
	// Fixed is the number of retries that are allowed in a Window in addition, whatever the number of requests. It is divided
	// equally among the instances.
	Fixed float64
}

// Budget is an instance's part of a Limit: a token bucket for each service, which is empty when the process starts. It is safe
// for concurrent use.
type Budget struct {
	mu      sync.Mutex
	limit   Limit
	started time.Time
	buckets map[string]*bucket
}

// Allowance is the state of a Budget for a service at a given time.
type Allowance struct {
	// Requests is the number of requests during the last window.
	Requests int
	// Fixed is the instance's part of Limit.Fixed.
	Fixed float64
	// Left is the number of retries that are left, which may be fractional.
	Left float64
}

// NewBudget returns the Budget of an instance whose process has just started.
func NewBudget(limit Limit, now time.Time) *Budget {
	return &Budget{limit: limit, started: now, buckets: map[string]*bucket{}}
}

// SetLimit replaces the Limit. A bucket that holds more retries than the new Limit lets it hold is cut at its next use.
func (b *Budget) SetLimit(limit Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	for _, k := range b.buckets {
		k.requests.setSlot(limit.Window / windowSlots)
	}
}

// CountRequest counts a request for a service; instances is the number of instances that share the Limit.
func (b *Budget) CountRequest(service string, instances int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service)
	k.refill(b.limit, instances, now)
	k.requests.Add(now)
	k.tokens += refillFraction * b.limit.Share
}

// Take takes a retry for a service out of the budget and reports whether it is allowed; instances is the number of instances that
// share the Limit.
func (b *Budget) Take(service string, instances int, now time.Time) bool {
	return b.TakeFor(Claim{}, service, instances, now) == Granted
}

// Allowance returns the state of the budget for a service; instances is the number of instances that share the Limit.
func (b *Budget) Allowance(service string, instances int, now time.Time) Allowance {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service)
	k.refill(b.limit, instances, now)
	return Allowance{Requests: k.requests.Sum(now), Fixed: b.limit.Fixed / float64(instances), Left: k.tokens}
}

// Services returns the names of the services that the budget has been used for.
func (b *Budget) Services() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.buckets))
}

// bucket returns the bucket of a service; the caller holds the lock.
func (b *Budget) bucket(service string) *bucket {
	k := b.buckets[service]
	if k == nil {
		k = &bucket{refilledAt: b.started, requests: NewWindowCounter(windowSlots, b.limit.Window/windowSlots)}
		b.buckets[service] = k
	}
	return k
}

// takenToken is a token that was taken out of a bucket and may be returned.
type takenToken struct {
	at time.Time
	// worth is the part of the token that comes back if it is returned. The rest would have been lost in the bucket, which would have
	// been full with it.
	worth float64
}

// bucket is the token bucket of one service; a token is one retry.
type bucket struct {
	tokens float64
	// refilledAt is when the part of Limit.Fixed was last added.
	refilledAt time.Time
	// taken holds the tokens that may be returned, oldest first.
	taken []takenToken
	// requests counts the requests of at most one window.
	requests *WindowCounter
}

// refill adds the part of Limit.Fixed for the time since the last refill, drops tokens beyond the capacity of the bucket, and returns
// that capacity. It must run before a request is counted, since the capacity may depend on earlier requests only.
func (k *bucket) refill(limit Limit, instances int, now time.Time) (capacity float64) {
	fixed := limit.Fixed / float64(instances)
	k.tokens += refillFraction * fixed * now.Sub(k.refilledAt).Seconds() / limit.Window.Seconds()
	k.refilledAt = now
	capacity = burstFraction * limit.perWindow(k.requests.Sum(now), instances)
	k.tokens = min(k.tokens, capacity)
	k.trimTaken(capacity)
	return capacity
}

// trimTaken lowers the worth of the taken tokens, the oldest first, to what the bucket has room for, and drops those that are worth
// nothing.
func (k *bucket) trimTaken(capacity float64) {
	excess := k.tokens - capacity
	for _, t := range k.taken {
		excess += t.worth
	}
	worthless := 0
	for ; excess > 0 && worthless < len(k.taken); worthless++ {
		t := &k.taken[worthless]
		if t.worth > excess {
			t.worth -= excess
			break
		}
		excess -= t.worth
	}
	k.taken = slices.Delete(k.taken, 0, worthless)
}

// perWindow returns the retries that the Limit allows one instance in a Window with so many of its requests.
func (l Limit) perWindow(requests, instances int) float64 {
	return l.Share*float64(requests) + l.Fixed/float64(instances)
}
