package forward

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"junctioncross/backend"
	"junctioncross/call"
	"junctioncross/catalog"
	"junctioncross/decision"
	"junctioncross/follow"
	"junctioncross/front"
	"junctioncross/metrics"
	"junctioncross/models"
	"junctioncross/quarantine"
	"junctioncross/retry"
	"junctioncross/timer"
)

// Terms are the bounds under which a Handler works; they come from the settings.
type Terms struct {
	// Domain is the failure domain of the instance.
	Domain string
	// KeysAge is how long ago the keys may have been confirmed for keyed requests to be accepted; 0 means any time.
	KeysAge time.Duration
	// Repeats is the limit on repeats of all instances together.
	Repeats retry.Limit
	// DrainTime is how long a server that leaves goes on with what passes it.
	DrainTime time.Duration
	// StallTime is how long a path stands still for a part that is gone before it is cut.
	StallTime time.Duration
	// LongestBackOff bounds the time for which a server may want nothing from the instance.
	LongestBackOff time.Duration
}

// Instances tells how many instances there are, which share the limits.
type Instances interface{ Instances() int }

// Teller tells the other instances what the book of ends holds.
type Teller interface {
	// Wake says that there is something to tell; it does not block.
	Wake()
}

// freshAge is how old the configuration may be for a refusal that says that a route or key does not exist.
const freshAge = 2500 * time.Millisecond

// Handler answers requests; it implements front.Handler.
type Handler struct {
	terms  atomic.Pointer[Terms]
	board  *follow.Board
	codec  call.Codec
	caller backend.Caller
	clock  *timer.Service
	stats  *metrics.Registry
	record *decision.Recorder
	census Instances
	watch  *watcher
	budget *retry.Budget
	// retryLog and lanesTold bound the lines on the repeats and the lanes of each service.
	retryLog, lanesTold logLimiter
	ends                *quarantine.Book
	publisher           Teller

	mu     sync.Mutex
	lanes  map[string]*laneBook
	queues map[string]*queue
	waits  waits
	// stopTold is when the process was told to stop, and stopBy when it must have ended; zero before.
	stopTold time.Time
	stopBy   time.Time
	peers    peers
}

// New returns a Handler and starts to look for streams that stand still and to ask servers for their memory; it stops when ctx ends.
func New(
	ctx context.Context, terms Terms, board *follow.Board, codec call.Codec, caller backend.Caller, clock *timer.Service,
	stats *metrics.Registry, record *decision.Recorder, instances Instances, ends *quarantine.Book, publisher Teller,
) *Handler {
	h := &Handler{
		board: board, codec: codec, caller: caller, clock: clock, stats: stats, record: record, census: instances,
		ends: ends, publisher: publisher,
		budget: retry.NewBudget(terms.Repeats, clock.Now()),
		lanes:  map[string]*laneBook{}, queues: map[string]*queue{}, waits: waits{},
		peers: peers{factor: peersAtFirst},
	}
	h.SetTerms(terms)
	h.watch = newWatcher(ctx, h)
	startProber(ctx, h)
	return h
}

// SetTerms replaces the bounds under which the Handler works.
func (h *Handler) SetTerms(terms Terms) {
	h.terms.Store(&terms)
	h.budget.SetLimit(terms.Repeats)
}

// KeysConfirmed reports whether the keys were confirmed lately enough for keyed requests to be accepted.
func (h *Handler) KeysConfirmed() bool {
	limit := h.terms.Load().KeysAge
	return limit == 0 || h.board.KeysAge(h.clock.Now()) <= limit
}

// request is what the parts of a Handler know of one request.
type request struct {
	x       *front.Exchange
	meta    call.Meta
	route   *catalog.Route
	account string
	urgency urgency
	// overtaken counts the requests that went before this one although they came later; the lock of the queue guards it.
	overtaken int
	group     *backend.Group
	// deadline is when the caller stops to wait or the route's time is over, whichever is sooner.
	deadline time.Time
	// granted is true while a repeat is taken from the allowance that has reached no server.
	granted bool
	// runs counts the servers that may have run the request.
	runs int
	// ran lists them.
	ran []*backend.Server
	// sends counts the servers that the request was sent to.
	sends int
	// digest is the fingerprint once it was worked out.
	digest *quarantine.Fingerprint
}

// fingerprint returns what stands for the request whatever attempt of its caller it is.
func (r *request) fingerprint() quarantine.Fingerprint {
	if r.digest == nil {
		header := r.x.Header()
		digest := quarantine.FingerprintOf(header.Host(), header.RequestURI(), r.account, r.x.Body())
		r.digest = &digest
	}
	return *r.digest
}

// Handle implements front.Handler.
func (h *Handler) Handle(ctx context.Context, x *front.Exchange) {
	r := &request{x: x, meta: x.Meta()}
	if !h.accept(ctx, r) {
		return
	}
	if k, ok := h.keptFrom(r); ok {
		h.refuseKept(r, k)
		return
	}
	ctx, cancel := h.clock.WithDeadline(ctx, r.deadline)
	defer cancel()
	h.countRequest(r)
	if r.group.Graph() != nil {
		h.stream(ctx, r)
	} else {
		h.plain(ctx, r)
	}
	h.observeHeld(r)
}

// accept finds route, account and servers, or answers with the reason why not.
func (h *Handler) accept(ctx context.Context, r *request) bool {
	snapshot := h.awaitSnapshot(ctx)
	c := snapshot.Catalog()
	if c == nil {
		h.refuse(r, models.ReasonNoConfiguration, soon)
		return false
	}
	age := h.board.KeysAge(h.clock.Now())
	r.route = c.Route(string(r.x.Header().Host()), pathOf(r.x.Header().RequestURI()))
	if r.route == nil {
		h.deny(r, fasthttp.StatusNotFound, models.ReasonNotFound, age)
		return false
	}
	r.urgency = urgencyOf(nil, r.route)
	if c.NeedsKeys() && !r.route.Public {
		if !h.KeysConfirmed() {
			h.refuse(r, models.ReasonKeysUnconfirmed, soon)
			return false
		}
		account := c.Account(r.meta.Key)
		if account == nil {
			h.deny(r, fasthttp.StatusUnauthorized, models.ReasonUnauthorized, age)
			return false
		}
		r.account, r.urgency = account.Name, urgencyOf(account, r.route)
	}
	r.group = snapshot.Group(r.route.Pick(rand.Float64()))
	if !h.finishes(r) {
		h.refuse(r, models.ReasonDraining, 0)
		return false
	}
	if left, cold := h.coldService(r); cold {
		h.refuse(r, models.ReasonNoServer, left+time.Duration(rand.Float64()*float64(coldSpread)))
		return false
	}
	r.deadline = r.x.Arrived().Add(r.route.Timeout)
	if r.meta.Wait > 0 && r.meta.Wait < r.route.Timeout {
		r.deadline = r.x.Arrived().Add(r.meta.Wait)
	}
	return true
}

// pathOf returns the path of a request's target as it was sent, without the query.
func pathOf(target []byte) string {
	path, _, _ := bytes.Cut(target, []byte("?"))
	return string(path)
}

func (h *Handler) observeHeld(r *request) {
	h.stats.Histogram("held_ms").Update(h.clock.Since(r.x.Arrived()).Milliseconds())
}
