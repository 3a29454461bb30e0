package pipeline

import (
	"context"
	"math/rand/v2"
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
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 12
	// goOnTime bounds how long an answer that has begun is tried again while servers start nothing: those that hold its layers may be loading
	// them anew, which would use up all attempts as each refusal comes at once.
	goOnTime      = 5 * time.Second
	cancelTimeout = 500 * time.Millisecond
)

var attemptChart = chart.MustLoad("attempt")

// Request is one answer to be produced.
type Request struct {
	ID       string
	Account  string
	Model    string
	Prompt   string
	Limit    int
	Priority int
	// Graph returns the model's servers as they are known at the moment of the call.
	Graph func() *route.Graph
}

// Token is one token of the answer.
type Token struct {
	// Piece is the token's text, empty for the token that ends the answer.
	Piece string
	// End is true for the token that ends the answer by itself.
	End bool
	// Prompt is the number of prompt tokens.
	Prompt int
}

// Runner runs requests on a pool.
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

// Run produces the answer and passes each token to emit; the error is a *Failure, and emit's error ends the run.
func (r *Runner) Run(ctx context.Context, q *Request, emit func(Token) error) error {
	a := &attempt{runner: r, request: q, chart: chart.New(attemptChart)}
	for {
		err := a.run(ctx, emit)
		a.release(err)
		if err == nil {
			return nil
		}
		if err := a.recover(ctx, err); err != nil {
			return err
		}
	}
}

// attempt is the state of one request over all its attempts.
type attempt struct {
	runner  *Runner
	request *Request
	chart   *chart.Machine
	number  uint32
	path    []route.Node
	// tokens holds the ids of the prompt and of the answer so far; prompt is the number of the former.
	tokens   []uint64
	prompt   int
	produced int
	// started is true once a server may have run a frame.
	started bool
	avoid   pool.Avoid
	// retries counts the attempts that failed, and counted those of them that count against maxAttempts.
	retries int
	counted int
	brokeAt time.Time
}

// errSlow means that the attempt leaves a path on which a server has become slow.
var errSlow = errors.New("pipeline: a server has become slow")

// errNoPath means that no path of usable servers exists.
var errNoPath = errors.New("pipeline: no path of usable servers")

// emitError carries the caller's error out of an attempt.
type emitError struct{ cause error }

// Error implements error.
func (e *emitError) Error() string { return "pipeline: caller gone: " + e.cause.Error() }

// run makes one attempt: a pass over the prompt and the tokens so far, then one pass for each further token.
func (a *attempt) run(ctx context.Context, emit func(Token) error) error {
	path, ok := a.runner.pool.Choose(a.request.Graph(), a.avoid)
	if !ok {
		a.fire("none")
		return errNoPath
	}
	a.path = path
	a.number++
	a.fire("chosen")
	for {
		result, err := a.pass(ctx)
		if err != nil {
			return err
		}
		done, err := a.accept(result, emit)
		if done || err != nil {
			return err
		}
		if a.leaveSlow() {
			return errSlow
		}
	}
}

// accept appends the next token, exactly once, and reports whether the answer is complete.
func (a *attempt) accept(result engine.Result, emit func(Token) error) (bool, error) {
	if !a.brokeAt.IsZero() {
		a.runner.stats.Counter("recoveries_total").Inc(1)
		a.brokeAt = time.Time{}
	}
	a.tokens = append(a.tokens, result.Output[0])
	a.produced++
	token := Token{Piece: result.Piece, End: result.End, Prompt: a.prompt}
	if result.End {
		token.Piece = ""
	}
	if err := emit(token); err != nil {
		return false, &emitError{cause: err}
	}
	if result.End || a.produced >= a.request.Limit {
		a.fire("last")
		return true, nil
	}
	a.fire("token")
	return false, nil
}

// pass sends the positions that the stages have not seen through every layer once, in order.
func (a *attempt) pass(ctx context.Context) (engine.Result, error) {
	position := 0
	if a.chart.State() == "decoding" {
		position = len(a.tokens) - 1
	}
	frame := engine.Frame{
		Request: a.request.ID, Attempt: a.number, Position: position,
		Model: a.request.Model, Priority: a.request.Priority,
	}
	if len(a.tokens) == 0 {
		frame.Text = a.request.Prompt
	} else {
		frame.Input = a.tokens[position:]
	}
	var result engine.Result
	next := 0
	for _, n := range a.path {
		if n.Layers.First != next {
			return result, errors.Wrap(engine.ErrOutOfOrder, "layers do not join")
		}
		next = n.Layers.End
		frame.Layers = n.Layers
		var err error
		if result, err = a.step(ctx, n, frame); err != nil {
			return result, err
		}
		if frame.Text != "" {
			a.learnPrompt(result)
			frame.Text = ""
		}
		frame.Input = result.Output
	}
	return result, a.checkLast(result)
}

func (a *attempt) checkLast(result engine.Result) error {
	if len(result.Output) != 1 {
		return errors.Wrap(engine.ErrOutOfOrder, "last stage gave no single token")
	}
	return nil
}

// leaveSlow reports whether a server of the path has become slow while others could take its place.
func (a *attempt) leaveSlow() bool {
	if a.retries >= maxAttempts/2 {
		return false
	}
	for _, n := range a.path {
		server := a.runner.pool.Server(n.Server)
		if server.Batcher().Slow(n.Step) {
			server.Failed(a.runner.clock.Now())
			a.avoid.Busy = append(a.avoid.Busy, n.Server)
			return a.runner.pool.HasPath(a.request.Graph(), a.avoid)
		}
	}
	return false
}

// learnPrompt keeps the prompt's token ids, which the first stage reports for a text.
func (a *attempt) learnPrompt(result engine.Result) {
	a.tokens = append(a.tokens[:0], result.Tokens...)
	a.prompt = len(a.tokens)
}

func (a *attempt) step(ctx context.Context, n route.Node, frame engine.Frame) (engine.Result, error) {
	server := a.runner.pool.Server(n.Server)
	result, err := server.Batcher().Run(ctx, &frame)
	if err != nil {
		if !engine.NotStarted(err) {
			a.started = true
		}
		if ctx.Err() == nil {
			server.Failed(a.runner.clock.Now())
			a.shun(n.Server, err)
			a.runner.log.WithFields(a.fields()).WithField("server", server.Name()).WithError(err).Warn("stage failed")
		}
		return result, err
	}
	a.started = true
	server.Succeeded()
	return result, nil
}

// shun keeps that a server failed the attempt.
func (a *attempt) shun(server int, err error) {
	if errors.Is(err, engine.ErrRefused) || errors.Is(err, engine.ErrOutOfOrder) {
		a.avoid.Busy = append(a.avoid.Busy, server)
		return
	}
	a.avoid.Lost = append(a.avoid.Lost, server)
}

// release makes the servers of the path forget the attempt.
func (a *attempt) release(err error) {
	path := a.path
	a.path = nil
	if path == nil {
		return
	}
	cancel := engine.Cancel{Attempts: []engine.AttemptID{{Request: a.request.ID, Attempt: a.number}}}
	if err != nil {
		a.runner.stats.Counter("attempts_cancelled_total").Inc(1)
	}
	servers := a.runner.pool
	for _, n := range path {
		servers.Server(n.Server).EndAttempt()
	}
	go func() {
		for _, n := range path {
			s := servers.Server(n.Server)
			if err := servers.Client().Cancel(s.Addr(), cancel, cancelTimeout); err != nil {
				a.runner.stats.Counter("cancels_lost_total").Inc(1)
			}
		}
	}()
}

// recover decides whether another attempt follows a failed one; the error ends the request.
func (a *attempt) recover(ctx context.Context, cause error) error {
	if !errors.Is(cause, errNoPath) {
		a.fire("broken")
	}
	var gone *emitError
	if errors.As(cause, &gone) || ctx.Err() != nil {
		return a.fail("gone", models.ReasonCallerGone, cause)
	}
	if errors.Is(cause, errNoPath) && !a.started {
		return a.fail("exhausted", models.ReasonNoPipeline, cause)
	}
	if a.brokeAt.IsZero() {
		a.brokeAt = a.runner.clock.Now()
	}
	if a.exhausted(cause) {
		return a.fail("exhausted", models.ReasonRetriesExhausted, cause)
	}
	a.runner.stats.Retried(retryReason(cause))
	pause := retry.Pause(a.retries, rand.Float64())
	a.retries++
	if !a.runner.clock.Sleep(ctx, pause) {
		return a.fail("gone", models.ReasonCallerGone, cause)
	}
	a.fire("again")
	return nil
}

// exhausted counts a failed attempt and reports whether no other may follow. An answer that has begun goes on for a while past attempts that
// no server started; before that a caller had better ask elsewhere.
func (a *attempt) exhausted(cause error) bool {
	if a.produced > 0 && (errors.Is(cause, errNoPath) || engine.NotStarted(cause)) {
		return a.runner.clock.Since(a.brokeAt) >= goOnTime
	}
	a.counted++
	return a.counted > maxAttempts
}

func (a *attempt) fail(event chart.Event, reason models.Reason, cause error) error {
	a.fire(event)
	return a.failure(reason, cause)
}

func (a *attempt) failure(reason models.Reason, cause error) error {
	fate := models.FateNotRun
	if a.started {
		fate = models.FateUnknown
	}
	return &Failure{reason: reason, fate: fate, cause: cause}
}

func (a *attempt) fire(event chart.Event) {
	if err := a.chart.Fire(event); err != nil {
		a.runner.stats.Counter("chart_errors_total").Inc(1)
		a.runner.log.WithFields(a.fields()).WithError(err).Error("unexpected event")
	}
}

func (a *attempt) fields() logrus.Fields {
	return logrus.Fields{"request": a.request.ID, "account": a.request.Account, "attempt": a.number}
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
