package retry

import (
	"maps"
	"slices"
	"sync"
	"time"
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

// Budget is an instance's part of a Limit, for each service by itself. Several goroutines may use it.
type Budget struct {
	mu       sync.Mutex
	limit    Limit
	services map[string]*Window
}

// Allowance is what a Budget has for a service at a moment.
type Allowance struct {
	// Requests and Repeats are those that count.
	Requests, Repeats int
	// Fixed is the instance's part of the repeats that are allowed besides a share of the requests.
	Fixed float64
	// Left is the number of repeats that are left.
	Left int
}

// NewBudget returns the part of an instance that has just started.
func NewBudget(limit Limit, _ time.Time) *Budget {
	return &Budget{limit: limit, services: map[string]*Window{}}
}

// SetLimit replaces the Limit; what was counted counts on.
func (b *Budget) SetLimit(limit Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	for _, w := range b.services {
		w.Limit(limit.Window, limit.Share)
	}
}

// Request counts a request for a service; instances is the number of those that share the Limit.
func (b *Budget) Request(service string, _ int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service, now).Request(now)
}

// Take counts a repeat for a service and reports whether it is allowed; instances is the number of those that share the Limit.
func (b *Budget) Take(service string, instances int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window(service, now).Take(now, b.fixed(instances))
}

// Allowance returns what there is for a service; instances is the number of those that share the Limit.
func (b *Budget) Allowance(service string, instances int, now time.Time) Allowance {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, fixed := b.window(service, now), b.fixed(instances)
	requests, repeats := w.Counts(now)
	return Allowance{Requests: requests, Repeats: repeats, Fixed: fixed, Left: w.Left(now, fixed)}
}

// Services returns the names of the services that had requests.
func (b *Budget) Services() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.services))
}

// fixed returns the instance's part of the fixed repeats.
func (b *Budget) fixed(instances int) float64 { return b.limit.Fixed / float64(instances) }

// window returns the counts for a service; the caller holds the lock.
func (b *Budget) window(service string, now time.Time) *Window {
	w := b.services[service]
	if w == nil {
		w = NewWindow(b.limit.Window, b.limit.Share, now)
		b.services[service] = w
	}
	return w
}
