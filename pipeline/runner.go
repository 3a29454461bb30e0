package pipeline

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"junctioncross/chart"
	"junctioncross/engine"
	"junctioncross/metrics"
	"junctioncross/models"
	"junctioncross/pool"
	"junctioncross/retry"
	"junctioncross/route"
	"junctioncross/timer"
)

const (
	// maxAttempts bounds the failed attempts of one request that count; see execution.exhausted.
	maxAttempts = 12
	// resumeTimeout bounds how long an answer that has begun is retried while servers start none of its frames, or while only servers
	// that it has lost hold its layers. Those retries do not count as attempts: the other servers may be loading the layers, and
	// since a refusal or a lost connection comes at once, the retries would use up all attempts before the layers are loaded.
	resumeTimeout = 5 * time.Second
	cancelTimeout = 500 * time.Millisecond
)

var attemptChart = chart.MustLoad("attempt")

// Request is one answer to be produced.
type Request struct {
	ID string
	// Account is the name of the client account.
	Account string
	Model   string
	Prompt  string
	// MaxTokens is the maximum length of the answer in tokens.
	MaxTokens int
	// Priority is passed to the engines with each frame; they run higher priorities first.
	Priority int
	// Graph returns the graph of the model's servers that are known at the time of the call.
	Graph func() *route.Graph
}

// Token is one token of the answer.
type Token struct {
	// Piece is the token's text, empty for the token that ends the answer.
	Piece string
	// End is true for the token by which the model ends the answer.
	End bool
	// Prompt is the number of prompt tokens.
	Prompt int
}

// Runner runs requests on the servers of a pool.
type Runner struct {
	pool  *pool.Pool
	clock *timer.Service
	stats *metrics.Registry
	log   *logrus.Logger
}

// New returns a Runner.
func New(servers *pool.Pool, clock *timer.Service, stats *metrics.Registry, log *logrus.Logger) *Runner {
	return &Runner{pool: servers, clock: clock, stats: stats, log: log}
}

// Run produces the answer and passes each token to emit; an error of emit ends the run. The error of Run is a *Failure.
func (r *Runner) Run(ctx context.Context, q *Request, emit func(Token) error) error {
	e := &execution{runner: r, request: q, chart: chart.New(attemptChart)}
	for {
		err := e.run(ctx, emit)
		e.release(err)
		if err == nil {
			return nil
		}
		if err := e.prepareRetry(ctx, err); err != nil {
			return err
		}
	}
}

// execution is the state of one request across all its attempts.
type execution struct {
	runner  *Runner
	request *Request
	chart   *chart.Machine
	// number and path are those of the present attempt.
	number uint32
	path   []route.Node
	// tokens holds the token ids of the prompt, followed by those of the answer so far.
	tokens []uint64
	// prompt is the number of prompt tokens, and produced that of answer tokens.
	prompt   int
	produced int
	// started is true once a server may have run a frame.
	started bool
	// avoid lists the servers that failed an earlier attempt.
	avoid pool.Avoid
	// lost lists the servers that gave no answer since the last token; lostAgain is true if the attempt ended at one of them.
	lost      []int
	lostAgain bool
	// retries counts the attempts after the first, and countedFailures the failed attempts that count against maxAttempts.
	retries         int
	countedFailures int
	// brokenAt is when the first failure since the last token occurred; it is zero if there was none.
	brokenAt time.Time
}

// errSlow ends an attempt because a server of its path has become slow and another path exists.
var errSlow = errors.New("pipeline: a server has become slow")

// errNoPath means that no path of usable servers exists.
var errNoPath = errors.New("pipeline: no path of usable servers")

// emitError wraps an error of the emit function.
type emitError struct{ cause error }

// Error implements error.
func (e *emitError) Error() string { return "pipeline: caller disconnected: " + e.cause.Error() }

// run makes one attempt: a first pass over the prompt and all tokens so far (prefill), then one pass for each further token
// (decode).
func (e *execution) run(ctx context.Context, emit func(Token) error) error {
	path, ok := e.runner.pool.Choose(e.request.Graph(), e.avoid)
	if !ok {
		e.fire("none")
		return errNoPath
	}
	e.path = path
	e.lostAgain = false
	e.number++
	e.fire("chosen")
	for {
		result, err := e.pass(ctx)
		if err != nil {
			return err
		}
		done, err := e.accept(result, emit)
		if done || err != nil {
			return err
		}
		if e.shouldReroute() {
			return errSlow
		}
	}
}

// accept appends the next token, passes it to emit and reports whether the answer is complete. It is called once for each token.
func (e *execution) accept(result engine.Result, emit func(Token) error) (bool, error) {
	if !e.brokenAt.IsZero() {
		e.runner.stats.Counter("recoveries_total").Inc(1)
		e.brokenAt = time.Time{}
		e.lost = e.lost[:0]
	}
	e.tokens = append(e.tokens, result.Output[0])
	e.produced++
	token := Token{Piece: result.Piece, End: result.End, Prompt: e.prompt}
	if result.End {
		token.Piece = ""
	}
	if err := emit(token); err != nil {
		return false, &emitError{cause: err}
	}
	if result.End || e.produced >= e.request.MaxTokens {
		e.fire("last")
		return true, nil
	}
	e.fire("token")
	return false, nil
}

// pass sends the positions that the path's servers have not processed yet through all stages in order, and returns the last
// stage's result.
func (e *execution) pass(ctx context.Context) (engine.Result, error) {
	position := 0
	if e.chart.State() == "decoding" {
		position = len(e.tokens) - 1
	}
	frame := engine.Frame{
		Request: e.request.ID, Attempt: e.number, Position: position,
		Model: e.request.Model, Priority: e.request.Priority,
	}
	if len(e.tokens) == 0 {
		frame.Text = e.request.Prompt
	} else {
		frame.Input = e.tokens[position:]
	}
	var result engine.Result
	next := 0
	for _, n := range e.path {
		if n.Layers.First != next {
			return result, errors.Wrap(engine.ErrOutOfOrder, "layers do not join")
		}
		next = n.Layers.End
		frame.Layers = n.Layers
		var err error
		if result, err = e.step(ctx, n, frame); err != nil {
			return result, err
		}
		if frame.Text != "" {
			e.setPromptTokens(result)
			frame.Text = ""
		}
		frame.Input = result.Output
	}
	return result, e.checkLast(result)
}

// checkLast checks that the last stage returned one token.
func (e *execution) checkLast(result engine.Result) error {
	if len(result.Output) != 1 {
		return errors.Wrap(engine.ErrOutOfOrder, "last stage gave no single token")
	}
	return nil
}

// shouldReroute reports whether a server of the path has become slow and a path without it exists; it adds that server to avoid.
// The last half of the attempts accepts slow servers.
func (e *execution) shouldReroute() bool {
	if e.retries >= maxAttempts/2 {
		return false
	}
	for _, n := range e.path {
		server := e.runner.pool.Server(n.Server)
		if server.Batcher().Slow(n.Step) {
			server.Failed(e.runner.clock.Now())
			e.avoid.Busy = append(e.avoid.Busy, n.Server)
			return e.runner.pool.HasPath(e.request.Graph(), e.avoid)
		}
	}
	return false
}

// setPromptTokens stores the prompt's token ids, which the server of the first stage returns when it got the prompt as text.
func (e *execution) setPromptTokens(result engine.Result) {
	e.tokens = append(e.tokens[:0], result.Tokens...)
	e.prompt = len(e.tokens)
}

// step sends a frame to the server of one stage and records the outcome.
func (e *execution) step(ctx context.Context, n route.Node, frame engine.Frame) (engine.Result, error) {
	server := e.runner.pool.Server(n.Server)
	result, err := server.Batcher().Run(ctx, &frame)
	if err != nil {
		if !engine.NotStarted(err) {
			e.started = true
		}
		if ctx.Err() == nil {
			server.Failed(e.runner.clock.Now())
			e.avoidServer(n.Server, err)
			e.runner.log.WithFields(e.fields()).WithField("server", server.Name()).WithError(err).Warn("stage failed")
		}
		return result, err
	}
	e.started = true
	server.Succeeded()
	return result, nil
}

// avoidServer adds a server that failed the attempt to those that the next attempts avoid.
func (e *execution) avoidServer(server int, err error) {
	if errors.Is(err, engine.ErrRefused) || errors.Is(err, engine.ErrOutOfOrder) {
		e.avoid.Busy = append(e.avoid.Busy, server)
		return
	}
	e.avoid.Lost = append(e.avoid.Lost, server)
	e.lostAgain = slices.Contains(e.lost, server)
	e.lost = append(e.lost, server)
}

// release makes the servers of the path delete what they hold for the attempt; err is the attempt's error.
func (e *execution) release(err error) {
	path := e.path
	e.path = nil
	if path == nil {
		return
	}
	cancel := engine.Cancel{Attempts: []engine.AttemptID{{Request: e.request.ID, Attempt: e.number}}}
	if err != nil {
		e.runner.stats.Counter("attempts_cancelled_total").Inc(1)
	}
	servers := e.runner.pool
	for _, n := range path {
		servers.Server(n.Server).EndAttempt()
	}
	go func() {
		for _, n := range path {
			s := servers.Server(n.Server)
			if err := servers.Client().Cancel(s.Addr(), cancel, cancelTimeout); err != nil {
				e.runner.stats.Counter("cancels_lost_total").Inc(1)
			}
		}
	}()
}

// prepareRetry waits until another attempt may follow a failed one; an error means that none may and ends the request.
func (e *execution) prepareRetry(ctx context.Context, cause error) error {
	if !errors.Is(cause, errNoPath) {
		e.fire("broken")
	}
	var emitErr *emitError
	if errors.As(cause, &emitErr) || ctx.Err() != nil {
		return e.fail("gone", models.ReasonCallerGone, cause)
	}
	if errors.Is(cause, errNoPath) && !e.started {
		return e.fail("exhausted", models.ReasonNoPipeline, cause)
	}
	if e.brokenAt.IsZero() {
		e.brokenAt = e.runner.clock.Now()
	}
	if e.exhausted(cause) {
		return e.fail("exhausted", models.ReasonRetriesExhausted, cause)
	}
	e.runner.stats.Retried(retryReason(cause))
	pause := retry.Pause(e.retries, rand.Float64())
	e.retries++
	if !e.runner.clock.Sleep(ctx, pause) {
		return e.fail("gone", models.ReasonCallerGone, cause)
	}
	e.fire("again")
	return nil
}

// exhausted counts a failed attempt and reports whether no other may follow. For an answer that has begun, attempts that no
// server started do not count, nor do those that lost a server again; they are bounded by resumeTimeout. The first loss of each
// server after a token counts, since the servers may terminate because of the request. Before an answer begins all attempts count,
// so that the caller is soon refused and can send the request elsewhere.
func (e *execution) exhausted(cause error) bool {
	if e.produced > 0 && (e.lostAgain || errors.Is(cause, errNoPath) || engine.NotStarted(cause)) {
		return e.runner.clock.Since(e.brokenAt) >= resumeTimeout
	}
	e.countedFailures++
	return e.countedFailures > maxAttempts
}

// fail ends the request: it fires the event and returns the Failure.
func (e *execution) fail(event chart.Event, reason models.Reason, cause error) error {
	e.fire(event)
	return e.failure(reason, cause)
}

func (e *execution) failure(reason models.Reason, cause error) error {
	fate := models.FateNotRun
	if e.started {
		fate = models.FateUnknown
	}
	return &Failure{reason: reason, fate: fate, cause: cause}
}

// fire applies an event to the request's state machine; an event that the state does not allow is logged and counted.
func (e *execution) fire(event chart.Event) {
	if err := e.chart.Fire(event); err != nil {
		e.runner.stats.Counter("chart_errors_total").Inc(1)
		e.runner.log.WithFields(e.fields()).WithError(err).Error("unexpected event")
	}
}

func (e *execution) fields() logrus.Fields {
	return logrus.Fields{"request": e.request.ID, "account": e.request.Account, "attempt": e.number}
}

func retryReason(err error) models.Reason {
	switch {
	case errors.Is(err, errSlow):
		return models.RetrySlow
	case errors.Is(err, engine.ErrUnreachable):
		return models.RetryUnreachable
	case errors.Is(err, engine.ErrTimeout), errors.Is(err, engine.ErrLost):
		return models.RetryTimeout
	case errors.Is(err, engine.ErrOutOfOrder):
		return models.RetryOutOfOrder
	default:
		return models.RetryRefused
	}
}
