package pipeline

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"junctioncross/chart"
	"junctioncross/engine"
	"junctioncross/models"
	"junctioncross/retry"
)

const (
	// maxAttempts bounds the failed attempts of one request that count; see execution.exhausted.
	maxAttempts = 12
	// resumeTimeout bounds how long an answer that has begun is retried while servers start none of its frames, or while only servers
	// that it has lost hold its layers. Those retries do not count as attempts: the other servers may be loading the layers, and
	// since a refusal or a lost connection comes at once, the retries would use up all attempts before the layers are loaded.
	resumeTimeout = 5 * time.Second
	// maxSoundSilence is how long sound servers may answer nothing; attempts that end so meanwhile do not count.
	maxSoundSilence = 1500 * time.Millisecond
)

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

// prepareRetry waits until another attempt may follow a failed one; an error means that none may and ends the request.
func (e *execution) prepareRetry(ctx context.Context, cause error) error {
	if !errors.Is(cause, errNoPath) {
		e.fire("broken")
	}
	var emitErr *emitError
	if errors.As(cause, &emitErr) || ctx.Err() != nil {
		return e.fail("gone", models.ReasonCallerGone, cause)
	}
	if errors.Is(cause, errNoPath) && !e.mayHaveRun {
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
// so that the caller is soon refused and can send the request elsewhere, except for those that a silence ended which sound servers
// may have.
func (e *execution) exhausted(cause error) bool {
	if e.produced > 0 && (e.lostAgain || errors.Is(cause, errNoPath) || engine.NotStarted(cause)) {
		return e.runner.clock.Since(e.brokenAt) >= resumeTimeout
	}
	if errors.Is(cause, engine.ErrTimeout) && e.runner.clock.Since(e.brokenAt) < maxSoundSilence {
		return false
	}
	e.countedFailures++
	return e.countedFailures > maxAttempts
}

// fail ends the request: it fires the event and returns the Failure.
func (e *execution) fail(event chart.Event, reason models.Reason, cause error) error {
	e.fire(event)
	return e.failure(reason, cause)
}

// failure returns the Failure of a request that ends now.
func (e *execution) failure(reason models.Reason, cause error) error {
	fate := models.FateNotRun
	if e.mayHaveRun {
		fate = models.FateUnknown
	}
	return &Failure{reason: reason, fate: fate, cause: cause}
}

// retryReason returns the reason under which a retry after an error is counted.
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
