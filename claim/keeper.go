package claim

import (
	"context"
	"sync"

	"junctioncross/kv"
	"junctioncross/metrics"
	"junctioncross/timer"
)

// Asker settles claims.
type Asker interface {
	// Ask claims a key or records an outcome; it returns ErrUnavailable or ErrUnsure.
	Ask(ctx context.Context, c Claim) (Verdict, error)
}

// Keeper writes the claims of every partition from this process.
type Keeper struct {
	store      kv.Store
	clock      *timer.Service
	stats      *metrics.Registry
	writer     string
	partitions int

	mu   sync.Mutex
	logs map[int]*Log
}

// NewKeeper returns a Keeper over that number of partitions; every process must use the same number.
func NewKeeper(store kv.Store, clock *timer.Service, stats *metrics.Registry, writer string, partitions int) *Keeper {
	return &Keeper{store: store, clock: clock, stats: stats, writer: writer, partitions: partitions, logs: map[int]*Log{}}
}

// Ask implements Asker.
func (k *Keeper) Ask(ctx context.Context, c Claim) (Verdict, error) {
	return k.partitionLog(Partition(c.Key, k.partitions)).Ask(ctx, c)
}

func (k *Keeper) partitionLog(partition int) *Log {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.logs[partition]
	if l == nil {
		l = NewLog(k.store, k.clock, k.stats, partition, k.writer)
		k.logs[partition] = l
	}
	return l
}
