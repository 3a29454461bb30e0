package claim

import (
	"context"
	"sync"

	"junctioncross/kv"
	"junctioncross/metrics"
	"junctioncross/timer"
)

// Claimer decides claims.
type Claimer interface {
	// Submit claims a key, or records the outcome of the request that holds it. Its errors are ErrUnavailable and ErrOutcomeUnknown.
	Submit(ctx context.Context, c Claim) (Verdict, error)
}

// Logs decides claims in this process: it writes to the logs of all partitions, which it opens on first use.
type Logs struct {
	store      kv.Store
	clock      *timer.Service
	stats      *metrics.Registry
	writer     string
	partitions int

	mu   sync.Mutex
	logs map[int]*Log
}

// NewLogs returns the Logs for the given number of partitions, which must be the same in every process; writer names this
// process and incarnation in the records.
func NewLogs(store kv.Store, clock *timer.Service, stats *metrics.Registry, writer string, partitions int) *Logs {
	return &Logs{store: store, clock: clock, stats: stats, writer: writer, partitions: partitions, logs: map[int]*Log{}}
}

// Submit implements Claimer.
func (k *Logs) Submit(ctx context.Context, c Claim) (Verdict, error) {
	return k.partitionLog(Partition(c.Key, k.partitions)).Submit(ctx, c)
}

func (k *Logs) partitionLog(partition int) *Log {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.logs[partition]
	if l == nil {
		l = NewLog(k.store, k.clock, k.stats, partition, k.writer)
		k.logs[partition] = l
	}
	return l
}
