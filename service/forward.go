package service

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"junctioncross/intent"
	"junctioncross/metrics"
	"junctioncross/models"
	"junctioncross/once"
	"junctioncross/retry"
)

const (
	dialTimeout = 300 * time.Millisecond
	// CallTimeout bounds one attempt of a call to a plain service.
	CallTimeout = 5 * time.Second
	// maxTries bounds the attempts of one call.
	maxTries = 3
)

// Errors that Forward returns.
var (
	// ErrNeverSent means that no byte of the call was sent to any backend server.
	ErrNeverSent = errors.New("service: call never sent")
	// ErrOutcomeUnknown means that a backend server may have run the call.
	ErrOutcomeUnknown = errors.New("service: outcome unsure")
)

// Forwarder sends calls to the backend servers of plain services.
type Forwarder struct {
	stats *metrics.Registry
	// pooled keeps connections between calls; unpooled opens one for each call, so that it is certain
	// whether a failed call was sent.
	pooled   *fasthttp.Client
	unpooled *fasthttp.Client
}

// New returns a Forwarder that counts its retries in stats.
func New(stats *metrics.Registry) *Forwarder {
	return &Forwarder{stats: stats, pooled: newClient(), unpooled: newClient()}
}

func newClient() *fasthttp.Client {
	client := once.NewClient(dialTimeout)
	client.NoDefaultUserAgentHeader = true
	client.DisablePathNormalizing = true
	return client
}

// MayRetry reports whether the service's settings allow a retry of the call. The first rule for its method and a prefix of its
// path decides; without a rule it must not be retried.
func MayRetry(s *intent.Service, method, path string) bool {
	for _, c := range s.Calls {
		if c.Method == method && strings.HasPrefix(path, c.Path) {
			return c.Repeatable
		}
	}
	return false
}

// Forward sends the call and fills resp; it returns ErrNeverSent or ErrOutcomeUnknown.
//
// A call that must not be retried is sent to another server only after a failure to connect, when no byte was sent.
func (f *Forwarder) Forward(ctx context.Context, s *intent.Service, req *fasthttp.Request, resp *fasthttp.Response, mayRetry bool) error {
	start := rand.IntN(len(s.Addrs))
	sent := false
	for try := range min(maxTries, max(len(s.Addrs), 2)) {
		req.SetHost(s.Addrs[(start+try)%len(s.Addrs)])
		err := f.tryOnce(ctx, req, resp, mayRetry)
		if err == nil && !shouldRetry(resp, mayRetry) {
			return nil
		}
		neverSent := err != nil && once.NeverSent(err)
		sent = sent || !neverSent
		if !mayRetry && sent {
			return errors.Wrap(ErrOutcomeUnknown, err.Error())
		}
		f.stats.Retried(retryReason(neverSent))
		if !wait(ctx, retry.Pause(try, rand.Float64())) {
			break
		}
	}
	if sent {
		return ErrOutcomeUnknown
	}
	return ErrNeverSent
}

// tryOnce sends the call to one server. Calls that must not be retried use a new connection; see Forwarder.
func (f *Forwarder) tryOnce(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, mayRetry bool) error {
	deadline := time.Now().Add(CallTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if mayRetry {
		return f.pooled.DoDeadline(req, resp, deadline)
	}
	req.SetConnectionClose()
	return f.unpooled.DoDeadline(req, resp, deadline)
}

// shouldRetry reports whether a response is a 503 to a call that may be retried.
func shouldRetry(resp *fasthttp.Response, mayRetry bool) bool {
	return mayRetry && resp.StatusCode() == fasthttp.StatusServiceUnavailable
}

func retryReason(neverSent bool) models.Reason {
	if neverSent {
		return models.RetryUnreachable
	}
	return models.RetryTimeout
}

// wait blocks for the pause; it returns false if ctx ends first.
func wait(ctx context.Context, pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}
