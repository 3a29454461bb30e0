package pipeline

import (
	"context"

	"github.com/sirupsen/logrus"

	"junctioncross/chart"
	"junctioncross/metrics"
	"junctioncross/pool"
	"junctioncross/route"
	"junctioncross/timer"
)

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
