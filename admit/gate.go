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

// Errors of this layer.
var (
	// ErrOverloaded means that the wait would be too long; the request was not started.
	ErrOverloaded = errors.New("admit: overloaded")
	// ErrCallerGone means that the caller gave up while waiting.
	ErrCallerGone = errors.New("admit: caller gone")
)

const (
	// initialServiceTime is the assumed time of a request until one was seen.
	initialServiceTime = 500 * time.Millisecond
	// arrivalRateDivisor is the weight of the newest interval in the mean rate of arrivals, as a divisor.
	arrivalRateDivisor = 2
	serviceTimeDivisor = 16
)

// Gate admits requests for one model.
type Gate struct {
	clock   *timer.Service
	maxWait time.Duration

	mu          sync.Mutex
	limit       int
	running     int
	serviceTime time.Duration
	// arrivals counts the requests since counted; rate is their mean number a second.
	arrivals     int
	countedSince time.Time
	arrivalRate  float64
	scheduler    *share.Scheduler
	// usage holds the cost used here since the start, and recent that since the last TakeTop.
	usage  map[share.Owner]float64
	recent map[share.Owner]float64
	// refusals tells waiting requests that they had to make room.
	refusals map[*share.Waiter]chan struct{}
}

// New returns a Gate that refuses a request when its predicted wait is longer than maxWait.
func New(clock *timer.Service, maxWait time.Duration) *Gate {
	return &Gate{
		clock: clock, maxWait: maxWait, countedSince: clock.Now(), limit: 1, serviceTime: initialServiceTime,
		scheduler: share.New(), usage: map[share.Owner]float64{}, recent: map[share.Owner]float64{},
		refusals: map[*share.Waiter]chan struct{}{},
	}
}

// Ticket is the right to run one request.
type Ticket struct {
	gate        *Gate
	owner       share.Owner
	admittedAt  time.Time
	releaseOnce sync.Once
}

// SetLimit sets the number of requests that run at once.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = max(limit, 1)
	g.admitWaiting()
}

// Offered returns the places that would serve everything that was asked for here, refused or not: the mean number of
// arrivals a second times the time that a request takes. It must be called at regular intervals.
//
// What runs and waits would not do, because it follows from the limit: an instance with a higher limit would ask for more.
func (g *Gate) Offered() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if passed := now.Sub(g.countedSince).Seconds(); passed > 0 {
		g.arrivalRate += (float64(g.arrivals)/passed - g.arrivalRate) / arrivalRateDivisor
		g.arrivals, g.countedSince = 0, now
	}
	return max(g.arrivalRate*g.serviceTime.Seconds(), float64(g.running))
}

// Enter waits for a place; it returns ErrOverloaded at once when the predicted wait is too long, or ErrGone.
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

// RetryAfter returns when a refused caller may come back.
func (g *Gate) RetryAfter() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.predictedWait(), time.Second)
}

// evictForOwner refuses the newest request of the account that has most waiting in favour of an owner that has less, so that
// an account that asks too much is the one to be refused; it reports false when that is the owner itself. The caller holds
// the lock.
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

// removeRefusal ends the bookkeeping of a request that has left the queue.
func (g *Gate) removeRefusal(w *share.Waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.refusals, w)
}

// predictedWait returns how long a new request would wait; the caller holds the lock.
func (g *Gate) predictedWait() time.Duration {
	ahead := g.running + g.scheduler.Len() + 1 - g.limit
	if ahead <= 0 {
		return 0
	}
	return g.serviceTime * time.Duration(ahead) / time.Duration(g.limit)
}

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

func (g *Gate) abandon(w *share.Waiter, admitted chan struct{}) error {
	g.withdraw(w, admitted)
	return ErrCallerGone
}

func (g *Gate) expire(w *share.Waiter, admitted chan struct{}) error {
	g.withdraw(w, admitted)
	return ErrOverloaded
}

// withdraw takes a request out of the queue, or gives its place back when it was admitted meanwhile.
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

// Charge adds cost that the ticket's owner used here.
func (t *Ticket) Charge(cost float64) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Charge(t.owner, cost)
	g.usage[t.owner] += cost
	g.recent[t.owner] += cost
}

// Leave gives the place back; further calls do nothing.
func (t *Ticket) Leave() {
	t.releaseOnce.Do(func() {
		g := t.gate
		g.mu.Lock()
		defer g.mu.Unlock()
		g.running--
		g.serviceTime += (g.clock.Since(t.admittedAt) - g.serviceTime) / serviceTimeDivisor
		g.admitWaiting()
	})
}

// Usage is the cost that an owner has used on one instance since that started.
type Usage struct {
	Owner share.Owner `cbor:"1,keyasint"`
	Cost  float64     `cbor:"2,keyasint"`
}

// TakeTop returns the owners that used most since the last call, at most count, with all that they have used.
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

// ChargeRemote adds cost that an owner used on another instance.
func (g *Gate) ChargeRemote(owner share.Owner, cost float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.Charge(owner, cost)
}
