package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/fasthttp/router"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"junctioncross/intent"
	"junctioncross/keys"
	"junctioncross/plan"
	"junctioncross/revision"
	"junctioncross/timer"
)

// callTimeout bounds the work on one call.
const callTimeout = 15 * time.Second

// Handler serves the operators' API.
type Handler struct {
	store   *revision.Store
	keeper  *revision.Keeper
	cluster *StatusCollector
	clock   *timer.Service
	log     *logrus.Logger
}

// New returns a Handler that keeps intents and plans in store and writes to log what operators do.
func New(store *revision.Store, keeper *revision.Keeper, cluster *StatusCollector, clock *timer.Service, log *logrus.Logger) *Handler {
	return &Handler{store: store, keeper: keeper, cluster: cluster, clock: clock, log: log}
}

// Routes returns the HTTP handler of the API.
func (h *Handler) Routes() fasthttp.RequestHandler {
	r := router.New()
	r.POST("/v1/intents", h.serve(keys.RoleOperator, h.addIntent))
	r.POST("/v1/intents/{id}/plan", h.serve(keys.RoleOperator, h.addPlan))
	r.GET("/v1/plans/{id}", h.serve(keys.RoleViewer, h.showPlan))
	r.POST("/v1/plans/{id}/confirm", h.serve(keys.RoleOperator, h.confirm))
	r.GET("/v1/status", h.serve(keys.RoleViewer, h.status))
	r.GET("/v1/history", h.serve(keys.RoleViewer, h.history))
	return r.Handler
}

// action serves one call of the operator named who and returns the body of the response.
type action func(ctx context.Context, req *fasthttp.RequestCtx, who string) (any, error)

// serve returns a handler that checks the operator's role, runs the action and writes its result or failure as JSON.
func (h *Handler) serve(role keys.Role, run action) fasthttp.RequestHandler {
	return func(req *fasthttp.RequestCtx) {
		who, err := identify(req)
		if err != nil || !allowed(who.Role(), role) {
			write(req, fasthttp.StatusForbidden, Failure{Message: "this certificate may not do that", Settled: true})
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		value, err := run(ctx, req, who.Name())
		if err != nil {
			status, failure := failureOf(err)
			h.log.WithField("operator", who.Name()).WithField("path", string(req.Path())).WithError(err).Info("operator refused")
			write(req, status, failure)
			return
		}
		write(req, fasthttp.StatusOK, value)
	}
}

// identify returns the identity in the client certificate.
func identify(req *fasthttp.RequestCtx) (keys.Identity, error) {
	state := req.TLSConnectionState()
	if state == nil || len(state.PeerCertificates) == 0 {
		return keys.Identity{}, errors.New("operator: no certificate")
	}
	return keys.IdentityOf(state.PeerCertificates[0])
}

// allowed reports whether a holder of one role may do what needs another: operators may do everything, viewers may read.
func allowed(have, need keys.Role) bool {
	return have == keys.RoleOperator || have == keys.RoleViewer && need == keys.RoleViewer
}

func write(req *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status, body = fasthttp.StatusInternalServerError, []byte(`{"message":"internal error"}`)
	}
	req.SetStatusCode(status)
	req.SetContentType("application/json")
	req.SetBody(body)
}

func newID(prefix string) string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return prefix + hex.EncodeToString(b[:])
}

// IntentAnswer is the response to a submitted intent: its id and a description of each change.
type IntentAnswer struct {
	ID      string   `json:"id"`
	Changes []string `json:"changes"`
}

func (h *Handler) addIntent(ctx context.Context, req *fasthttp.RequestCtx, who string) (any, error) {
	name := string(req.QueryArgs().Peek("name"))
	if name == "" {
		name = "intent"
	}
	_, changes, err := intent.Parse(name, req.PostBody())
	if err != nil {
		return nil, err
	}
	i := revision.Intent{ID: newID("i-"), Who: who, Created: h.clock.Now().UTC(), YAML: string(req.PostBody())}
	if err := h.store.AddIntent(ctx, i); err != nil {
		return nil, err
	}
	return IntentAnswer{ID: i.ID, Changes: describeChanges(changes)}, nil
}

func describeChanges(changes []intent.Change) []string {
	out := make([]string, len(changes))
	for i, c := range changes {
		out[i] = intent.Describe(c)
	}
	return out
}

func (h *Handler) addPlan(ctx context.Context, req *fasthttp.RequestCtx, who string) (any, error) {
	stored, err := h.store.Intent(ctx, req.UserValue("id").(string))
	if err != nil {
		return nil, err
	}
	why, changes, err := intent.Parse(stored.ID, []byte(stored.YAML))
	if err != nil {
		return nil, err
	}
	head, _, err := h.store.Head(ctx)
	if err != nil {
		return nil, err
	}
	before, err := h.store.Document(ctx, head, h.keeper.Body)
	if err != nil {
		return nil, err
	}
	after, problems := intent.Apply(before, changes)
	if len(problems) > 0 {
		return nil, newRejection(problems)
	}
	placed, effects := plan.Place(after)
	p := revision.Plan{
		ID: newID("p-"), Intent: stored.ID, Base: head.Revision, Why: why, Who: who, Created: h.clock.Now().UTC(),
		Changes: describeChanges(changes), Effects: append(effects, plan.Compare(before, placed)...),
	}
	return h.store.AddPlan(ctx, p, head, placed)
}

func (h *Handler) showPlan(ctx context.Context, req *fasthttp.RequestCtx, _ string) (any, error) {
	return h.store.Plan(ctx, req.UserValue("id").(string))
}

func (h *Handler) confirm(ctx context.Context, req *fasthttp.RequestCtx, who string) (any, error) {
	id := req.UserValue("id").(string)
	entry, err := h.store.Confirm(ctx, id, who)
	if err == nil {
		h.log.WithFields(logrus.Fields{"operator": who, "plan": id, "revision": entry.Revision}).Info("plan confirmed")
	}
	return entry, err
}

func (h *Handler) status(ctx context.Context, _ *fasthttp.RequestCtx, _ string) (any, error) {
	return h.cluster.Statuses(ctx), nil
}

func (h *Handler) history(ctx context.Context, _ *fasthttp.RequestCtx, _ string) (any, error) {
	return h.store.History(ctx)
}
