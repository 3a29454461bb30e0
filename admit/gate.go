package admit

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"junctioncross/share"
	"junctioncross/timer"
)

// Errors that Enter returns.
var (
	// ErrOverloaded means that the wait for a slot is, or would be, too long; the request was not started.
	ErrOverloaded = errors.New("admit: overloaded")
	// ErrCallerGone means that the request's context ended while it waited for a slot; the request was not started.
	ErrCallerGone = errors.New("admit: caller gone")
)

const (
	// initialServiceTime is the assumed mean run time of a request until requests have been measured.
	initialServiceTime = 500 * time.Millisecond
	// arrivalRateDivisor is the inverse of the newest interval's weight in the moving average of the arrival rate, and
	// serviceTimeDivisor that of the newest request's weight in the moving average of the run time.
	arrivalRateDivisor = 2
	serviceTimeDivisor = 16
)

// Gate is the admission control for one model. It is safe for concurrent use.
type Gate struct {
	clock   *timer.Service
	maxWait time.Duration

	mu      sync.Mutex
	limit   int
	running int
	// serviceTime is the moving average of the time that an admitted request holds its slot.
	serviceTime time.Duration
	// arrivals counts the requests since countedSince; arrivalRate is the moving average of arrivals a second.
	arrivals     int
	countedSince time.Time
	arrivalRate  float64
	scheduler    *share.Scheduler
	// usage holds the cost that each owner has used on this instance since the start, recent the cost since the last TakeTop.
	usage  map[share.Owner]float64
	recent map[share.Owner]float64
	// refusals holds, for each queued request, the channel that is closed when the request is evicted.
	refusals map[*share.Waiter]chan struct{}
}

// New returns a Gate that refuses a request when its predicted wait is longer than maxWait. The limit is 1 until SetLimit.
func New(clock *timer.Service, maxWait time.Duration) *Gate {
	return &Gate{
		clock: clock, maxWait: maxWait, countedSince: clock.Now(), limit: 1, serviceTime: initialServiceTime,
		scheduler: share.New(), usage: map[share.Owner]float64{}, recent: map[share.Owner]float64{},
		refusals: map[*share.Waiter]chan struct{}{},
	}
}

// Ticket is the permission to run one request; it holds one slot of the limit until Release.
type Ticket struct {
	gate        *Gate
	owner       share.Owner
	admittedAt  time.Time
	releaseOnce sync.Once
}

// SetLimit sets the number of slots: the requests that run at once. Values below 1 count as 1.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = max(limit, 1)
	g.admitWaiting()
}

// OfferedLoad returns the offered load: the number of slots that would serve all requests that arrive here, refused ones
// included. It is the mean arrival rate times the mean run time, and at least the number of running requests. It must be
// called at regular intervals, because each call ends an interval of the arrival rate.
//
// The number of running and queued requests is no measure of the load, because it depends on the limit: an instance with a
// higher limit would ask for still more.
func (g *Gate) OfferedLoad() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if passed := now.Sub(g.countedSince).Seconds(); passed > 0 {
		g.arrivalRate += (float64(g.arrivals)/passed - g.arrivalRate) / arrivalRateDivisor
		g.arrivals, g.countedSince = 0, now
	}
	return max(g.arrivalRate*g.serviceTime.Seconds(), float64(g.running))
}

// Enter waits for a slot. It returns ErrOverloaded at once when the predicted wait is too long and no other owner's request
// can be evicted, or later when the request itself is evicted or has waited for twice maxWait. It returns ErrCallerGone when
// the context ends.
func (g *Gate) Enter(ctx context.Context, owner share.Owner) (*Ticket, error) {
	admitted := make(chan struct{})
	g.mu.Lock()
	g.arrivals++
	if g.predictedWait() > g.maxWait && !g.evictForOwner(owner) {
		g.mu.Unlock()
		return nil, ErrOverloaded
	}
	w := g.scheduler.Enqueue(owner, func() { close(admitted) })
	refused := make(chan struct{})
	g.refusals[w] = refused
	g.admitWaiting()
	g.mu.Unlock()
	defer g.removeRefusal(w)
	select {
	case <-refused:
		return nil, ErrOverloaded
	case <-admitted:
		return &Ticket{gate: g, owner: owner, admittedAt: g.clock.Now()}, nil
	case <-ctx.Done():
		return nil, g.abandon(w, admitted)
	case <-g.clock.After(g.maxWait * 2):
		return nil, g.expire(w, admitted)
	}
}

// RetryAfter returns the time after which a refused caller may retry: the predicted wait, and at least a second.
func (g *Gate) RetryAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.predictedWait(), time.Second)
}

// evictForOwner refuses the newest request of the account that has the most requests queued, in favour of an owner that has
// fewer, so that accounts that send too much are the ones to be refused. It returns false when that account is the owner's.
// The caller holds the lock.
func (g *Gate) evictForOwner(owner share.Owner) bool {
	w := g.scheduler.EvictionCandidate(owner)
	if w == nil {
		return false
	}
	g.scheduler.Drop(w)
	if refused, ok := g.refusals[w]; ok {
		close(refused)
		delete(g.refusals, w)
	}
	return true
}

// removeRefusal removes the refusal channel of a request that is no longer queued.
func (g *Gate) removeRefusal(w *share.Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.refusals, w)
}

// predictedWait returns how long a new request would wait for a slot; the caller holds the lock.
func (g *Gate) predictedWait() time.Duration {
	ahead := g.running + g.scheduler.Len() + 1 - g.limit
	if ahead <= 0 {
		return 0
	}
	return g.serviceTime * time.Duration(ahead) / time.Duration(g.limit)
}

// admitWaiting admits queued requests while slots are free; the caller holds the lock.
func (g *Gate) admitWaiting() {
	for g.running < g.limit {
		w := g.scheduler.Next()
		if w == nil {
			return
		}
		g.running++
		w.OnAdmitted()
	}
}

// abandon withdraws a request whose context has ended.
func (g *Gate) abandon(w *share.Waiter, admitted chan struct{}) error {
	g.withdraw(w, admitted)
	return ErrCallerGone
}

// expire withdraws a request that has waited too long.
func (g *Gate) expire(w *share.Waiter, admitted chan struct{}) error {
	g.withdraw(w, admitted)
	return ErrOverloaded
}

// withdraw removes a request from the queue, or releases its slot if it has been admitted meanwhile.
func (g *Gate) withdraw(w *share.Waiter, admitted chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-admitted:
		g.running--
		g.admitWaiting()
	default:
		g.scheduler.Drop(w)
	}
}

// Charge adds cost that the ticket's owner has used on this instance.
func (t *Ticket) Charge(cost float64) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Charge(t.owner, cost)
	g.usage[t.owner] += cost
	g.recent[t.owner] += cost
}

// Release releases the slot; further calls do nothing.
func (t *Ticket) Release() {
	t.releaseOnce.Do(func() {
		g := t.gate
		g.mu.Lock()
		defer g.mu.Unlock()
		g.running--
		g.serviceTime += (g.clock.Since(t.admittedAt) - g.serviceTime) / serviceTimeDivisor
		g.admitWaiting()
	})
}

// Usage is the cost that an owner has used on one instance since the instance started.
type Usage struct {
	Owner share.Owner `cbor:"1,keyasint"`
	Cost  float64     `cbor:"2,keyasint"`
}

// TakeTop returns the owners that have used most since the last call, at most count of them, with their usage since the start.
// It starts a new interval.
func (g *Gate) TakeTop(count int) []Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Usage, 0, len(g.recent))
	for o, cost := range g.recent {
		out = append(out, Usage{Owner: o, Cost: cost})
	}
	g.recent = map[share.Owner]float64{}
	sort.Slice(out, func(i, j int) bool { return out[i].Cost > out[j].Cost })
	out = out[:min(count, len(out))]
	for i := range out {
		out[i].Cost = g.usage[out[i].Owner]
	}
	return out
}

// ChargeRemote adds cost that an owner has used on another instance; it counts for the order of requests only.
func (g *Gate) ChargeRemote(owner share.Owner, cost float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Charge(owner, cost)
}
