package pipeline

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"junctioncross/chart"
	"junctioncross/engine"
	"junctioncross/pool"
	"junctioncross/route"
)

// cancelTimeout bounds one call that tells a server to delete what it holds for an attempt.
const cancelTimeout = 500 * time.Millisecond

// attemptChart is the state machine of a request across its attempts.
var attemptChart = chart.MustLoad("attempt")

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
	// mayHaveRun is true once a server may have run a frame.
	mayHaveRun bool
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

// fire applies an event to the request's state machine; an event that the state does not allow is logged and counted.
func (e *execution) fire(event chart.Event) {
	if err := e.chart.Fire(event); err != nil {
		e.runner.stats.Counter("chart_errors_total").Inc(1)
		e.runner.log.WithFields(e.fields()).WithError(err).Error("unexpected event")
	}
}

// fields returns the fields that identify the attempt in the log.
func (e *execution) fields() logrus.Fields {
	return logrus.Fields{"request": e.request.ID, "account": e.request.Account, "attempt": e.number}
}
