package forward

import (
	"bytes"
	"cmp"
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
	"junctioncross/demand"
	"junctioncross/follow"
	"junctioncross/front"
	"junctioncross/loglimit"
	"junctioncross/metrics"
	"junctioncross/models"
	"junctioncross/quarantine"
	"junctioncross/retry"
	"junctioncross/supervise"
	"junctioncross/timer"
)

// Settings are the limits that a Handler applies; they come from the settings file.
type Settings struct {
	// Instance is the name of the instance, and Domain its failure domain.
	Instance string
	Domain   string
	// KeysAge is how long ago the keys may have been confirmed for requests with a key to be accepted; 0 means any time.
	KeysAge time.Duration
	// Repeats is the limit on retries of all instances together.
	Repeats retry.Limit
	// DrainTime is how long a leaving server continues the streams that pass through it.
	DrainTime time.Duration
	// StallTime is how long the servers of a path wait for one of them that is gone before they cut the stream.
	StallTime time.Duration
	// LongestBackOff limits for how long a server may ask the instance to send it no requests.
	LongestBackOff time.Duration
	// Admission defines which requests are refused first while the room of a service is short.
	Admission AdmissionSettings
	// BodyMemory limits the memory, in bytes, for the bodies of plain answers that are held at once; 0 means a default.
	BodyMemory int64
}

// Instances returns the number of instances that share the limits.
type Instances interface{ Instances() int }

// EndPublisher publishes what the quarantine book holds to the other instances.
type EndPublisher interface {
	// Wake reports that there is something to publish; it does not block.
	Wake()
}

// freshConfigAge is the greatest age of the configuration at which a caller is told that a route or key does not exist. With an
// older configuration, in which a new route or key may be missing, the caller is asked to try again.
const freshConfigAge = 2500 * time.Millisecond

// Handler answers requests; it implements front.Handler.
type Handler struct {
	settings  atomic.Pointer[Settings]
	fleetView *follow.FleetView
	codec     call.Codec
	engines   backend.EngineClient
	dialer    backend.Dialer
	clock     *timer.Service
	stats     *metrics.Registry
	record    *decision.Recorder
	guard     *supervise.Supervisor
	instances Instances
	watch     *watcher
	silent    *silentServers
	budget    *retry.Budget
	ranks     rankCache
	// retryLog and lanesLog limit the rate of the log lines about the retries and the lanes of each service.
	retryLog, lanesLog loglimit.Limiter
	admissions         *admissions
	ends               *quarantine.Book
	publisher          EndPublisher
	// loads holds the load reports of the failure domain; it is nil if load is not reported.
	loads *demand.Book
	// bodies is the memory that is left for the bodies of plain answers.
	bodies heldBodies
	// outOfUse notes since when servers have got no new work.
	outOfUse outOfUse
	// listenChecks shares checks of whether plain servers listen.
	listenChecks listenChecks
	// plainTimes tells how long plain requests take.
	plainTimes plainTimes
	// unbegun ends when requests whose answers have not begun are ended, since the process ends; endUnbegun ends it.
	unbegun    context.Context
	endUnbegun context.CancelFunc

	mu           sync.Mutex
	lanes        map[string]*laneCache
	queues       map[string]*queue
	longestWaits longestWaits
	// stop is set once the process is told to stop.
	stop      stopTimes
	loadRatio loadRatio
}

// New returns a Handler and starts its background work: it looks for stalled streams and queries servers for their memory
// until ctx ends.
func New(
	ctx context.Context, settings Settings, fleetView *follow.FleetView, codec call.Codec, engines backend.EngineClient,
	dialer backend.Dialer, clock *timer.Service, stats *metrics.Registry, record *decision.Recorder, instances Instances, ends *quarantine.Book,
	publisher EndPublisher, loads *demand.Book,
) *Handler {
	h := &Handler{
		fleetView: fleetView, codec: codec, engines: engines, dialer: dialer, clock: clock, stats: stats, record: record, instances: instances,
		guard: supervise.New(clock, stats, record.Log()),
		ends:  ends, publisher: publisher, loads: loads, admissions: newAdmissions(),
		silent: newSilentServers(),
		budget: retry.NewBudget(settings.Repeats, clock.Now()),
		lanes:  map[string]*laneCache{}, queues: map[string]*queue{}, longestWaits: longestWaits{},
		loadRatio:  loadRatio{estimate: initialLoadRatio},
		plainTimes: plainTimes{samples: map[plainAnswers]*sample{}}, listenChecks: listenChecks{running: map[*backend.Server]*listenCheck{}},
	}
	h.unbegun, h.endUnbegun = context.WithCancel(ctx)
	h.bodies.left.Store(cmp.Or(settings.BodyMemory, defaultHeldBytes))
	if loads != nil {
		h.setLoads(loads)
	}
	h.ApplySettings(settings)
	h.watch = newWatcher(ctx, h)
	startProber(ctx, h)
	startLoadReports(ctx, h)
	dialer.Observe(h.watch.observePath)
	return h
}

// ApplySettings replaces the limits that the Handler applies.
func (h *Handler) ApplySettings(settings Settings) {
	h.settings.Store(&settings)
	h.budget.SetLimit(settings.Repeats)
	h.reviewAdmissions(nil)
}

// KeysConfirmed reports whether the keys were confirmed recently enough for requests with a key to be accepted.
func (h *Handler) KeysConfirmed() bool {
	limit := h.settings.Load().KeysAge
	return limit == 0 || h.fleetView.KeysAge(h.clock.Now()) <= limit
}

// request is the state of one request.
type request struct {
	x       *front.Exchange
	meta    call.Meta
	route   *catalog.Route
	account string
	rank    demand.Rank
	// overtaken counts the later requests that were served before this one; the lock of the queue guards it.
	overtaken int
	group     *backend.Group
	// deadline is when the caller stops waiting or the time limit of the route ends, whichever is sooner.
	deadline time.Time
	// retryGranted is true while the request holds a retry of the budget that has not reached a server yet.
	retryGranted bool
	// retryTaken is when that retry was taken.
	retryTaken time.Time
	// runs counts the servers that may have run the request.
	runs int
	// ran lists these servers.
	ran []*backend.Server
	// sends counts how often the request was sent to a server.
	sends int
	// direct is true while the request has a connection that uses the own links all the way.
	direct atomic.Bool
	// forecast says from which streams the Retry-After time of a refused request was predicted.
	forecast string
	// heldBytes is the memory that the bodies of its answers take beyond what each may take.
	heldBytes int
	// digest is the fingerprint, once computed.
	digest     quarantine.Fingerprint
	digestOnce sync.Once
}

// fingerprint returns the digest that is the same for all attempts of a caller at one request.
func (r *request) fingerprint() quarantine.Fingerprint {
	r.digestOnce.Do(func() {
		header := r.x.Header()
		r.digest = quarantine.FingerprintOf(header.Host(), header.RequestURI(), r.account, r.x.Body(), r.meta.PromptParts...)
	})
	return r.digest
}

// Handle implements front.Handler.
func (h *Handler) Handle(ctx context.Context, x *front.Exchange) {
	r := &request{x: x, meta: x.Meta()}
	if !h.accept(ctx, r) {
		return
	}
	if k, ok := h.quarantineOf(r); ok {
		h.refuseQuarantined(r, k)
		return
	}
	ctx, cancel := h.clock.WithDeadline(ctx, r.deadline)
	defer cancel()
	ctx, release := h.withStop(ctx, x)
	defer release()
	h.countRequest(r)
	defer func() { h.bodies.giveBack(r.heldBytes) }()
	h.serve(ctx, r)
	h.observeHeld(r)
}

// serve has an accepted request answered by the servers of its service. What an answer is depends on the route, and who runs the request on
// the service.
func (h *Handler) serve(ctx context.Context, r *request) {
	if r.route.Stream || r.group.Graph() != nil {
		h.stream(ctx, r)
	} else {
		h.plain(ctx, r)
	}
}

// accept finds the route, the account and the servers, or answers with the reason why it cannot.
func (h *Handler) accept(ctx context.Context, r *request) bool {
	snapshot := h.awaitSnapshot(ctx)
	c := snapshot.Catalog()
	if c == nil {
		h.refuse(r, models.ReasonNoConfiguration, defaultRetryAfter)
		return false
	}
	age := h.fleetView.KeysAge(h.clock.Now())
	r.route = c.Route(string(r.x.Header().Host()), pathOf(r.x.Header().RequestURI()))
	if r.route == nil {
		h.deny(r, fasthttp.StatusNotFound, models.ReasonNotFound, age)
		return false
	}
	r.rank = rankOf(nil, r.route)
	if c.NeedsKeys() && !r.route.Public {
		if !h.KeysConfirmed() {
			h.refuse(r, models.ReasonKeysUnconfirmed, defaultRetryAfter)
			return false
		}
		account := c.Account(r.meta.Key)
		if account == nil {
			h.deny(r, fasthttp.StatusUnauthorized, models.ReasonUnauthorized, age)
			return false
		}
		r.account, r.rank = account.Name, rankOf(account, r.route)
	}
	r.group = snapshot.Group(r.route.Pick(rand.Float64()))
	r.deadline = r.x.Arrived().Add(r.route.Timeout)
	if r.meta.Wait > 0 && r.meta.Wait < r.route.Timeout {
		r.deadline = r.x.Arrived().Add(r.meta.Wait)
	}
	if !h.accepts(r) {
		h.refuse(r, models.ReasonDraining, h.drainRetryAfter(r))
		return false
	}
	if left, cold := h.coldService(r); cold {
		h.refuse(r, models.ReasonNoServer, left+time.Duration(rand.Float64()*float64(coldRetryJitter)))
		return false
	}
	return true
}

// pathOf returns the path of a request target as it was sent, without the query.
func pathOf(target []byte) string {
	path, _, _ := bytes.Cut(target, []byte("?"))
	return string(path)
}

func (h *Handler) observeHeld(r *request) {
	h.stats.Histogram("held_ms").Update(h.clock.Since(r.x.Arrived()).Milliseconds())
}
