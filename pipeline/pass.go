package pipeline

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"junctioncross/engine"
	"junctioncross/route"
)

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
			e.mayHaveRun = true
		}
		if ctx.Err() == nil {
			server.Failed(e.runner.clock.Now())
			e.avoidServer(n.Server, err)
			e.runner.log.WithFields(e.fields()).WithField("server", server.Name()).WithError(err).Warn("stage failed")
		}
		return result, err
	}
	e.mayHaveRun = true
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
