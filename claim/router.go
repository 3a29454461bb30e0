package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"junctioncross/metrics"
)

// forwardTimeout bounds one call to the instance that writes a partition.
const forwardTimeout = 1500 * time.Millisecond

// Writers chooses the instance that writes a partition's claims for this failure domain, so that few instances write to the same
// log and conflicts are rare.
type Writers interface {
	// Writer returns the address of that instance; local is true if it is this instance or none is known.
	Writer(partition int) (addr string, local bool)
}

// Forward asks the instance at addr to decide a claim; sent is false if the call certainly did not reach it.
type Forward func(ctx context.Context, addr string, c Claim) (v Verdict, sent bool, err error)

// Router sends claims to the writers of their partitions. If a writer gives no answer, the claim is decided in this process: two
// writers to one partition are slow but safe.
type Router struct {
	local   *Logs
	writers Writers
	forward Forward
	stats   *metrics.Registry
}

// NewRouter returns a Router that falls back to the local logs.
func NewRouter(local *Logs, writers Writers, forward Forward, stats *metrics.Registry) *Router {
	return &Router{local: local, writers: writers, forward: forward, stats: stats}
}

// Submit implements Claimer. If the writer's answer is lost, the claim is submitted again in this process, which is safe since
// the log recognises a claim by its request. If that fails, too, the outcome is unknown, unless the call certainly did not reach
// the writer.
func (r *Router) Submit(ctx context.Context, c Claim) (Verdict, error) {
	addr, local := r.writers.Writer(Partition(c.Key, r.local.partitions))
	if local {
		return r.local.Submit(ctx, c)
	}
	call, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	v, sent, err := r.forward(call, addr, c)
	if err == nil {
		return v, nil
	}
	r.stats.Counter("claim_forwards_failed_total").Inc(1)
	v, localErr := r.local.Submit(ctx, c)
	if errors.Is(localErr, ErrUnavailable) && sent {
		return nil, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return v, localErr
}
