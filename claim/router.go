package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"junctioncross/metrics"
)

// forwardTimeout bounds one call to the writer of a partition.
const forwardTimeout = 1500 * time.Millisecond

// Writers names the instance that writes a partition's claims for this failure domain, so that few write one log.
type Writers interface {
	// Writer returns the address of the instance; local is true when it is this one or none is known.
	Writer(partition int) (addr string, local bool)
}

// Forward asks the instance at addr to settle a claim; sent is false when the call surely did not reach it.
type Forward func(ctx context.Context, addr string, c Claim) (v Verdict, sent bool, err error)

// Router sends claims to the writers of their partitions, and settles them here when those cannot be reached: two writers
// of one partition are slow but safe.
type Router struct {
	local   *Keeper
	writers Writers
	forward Forward
	stats   *metrics.Registry
}

// NewRouter returns a Router that falls back to the local keeper.
func NewRouter(local *Keeper, writers Writers, forward Forward, stats *metrics.Registry) *Router {
	return &Router{local: local, writers: writers, forward: forward, stats: stats}
}

// Ask implements Asker. A claim whose answer from the writer is lost is asked again here: the log knows it by its request.
func (r *Router) Ask(ctx context.Context, c Claim) (Verdict, error) {
	addr, local := r.writers.Writer(Partition(c.Key, r.local.partitions))
	if local {
		return r.local.Ask(ctx, c)
	}
	call, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	v, sent, err := r.forward(call, addr, c)
	if err == nil {
		return v, nil
	}
	r.stats.Counter("claim_forwards_failed_total").Inc(1)
	v, localErr := r.local.Ask(ctx, c)
	if errors.Is(localErr, ErrUnavailable) && sent {
		return nil, errors.Wrap(ErrUnsure, err.Error())
	}
	return v, localErr
}
