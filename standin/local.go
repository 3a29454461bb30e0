package standin

import (
	"context"
	"math/rand/v2"
	"sync"

	"junctioncross/kv"
)

// LocalKV is a kv.Store that calls Keys without a network and fails at random, repeatably for the same seed.
type LocalKV struct {
	keys *KV

	mu     sync.Mutex
	random *rand.Rand
	// failChance is the probability that a call fails without effect, loseChance the one that it takes effect but its response is
	// lost; both are from 0 to 1.
	failChance float64
	loseChance float64
}

// NewLocalKV returns a Local over keys; fail and lose are the probabilities that a call or its response is lost.
func NewLocalKV(keys *KV, seed uint64, fail, lose float64) *LocalKV {
	return &LocalKV{keys: keys, random: rand.New(rand.NewPCG(seed, seed)), failChance: fail, loseChance: lose}
}

// Heal ends the faults: no later call fails.
func (l *LocalKV) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failChance, l.loseChance = 0, 0
}

// drawFaults decides at random whether the next call and its response are lost.
func (l *LocalKV) drawFaults() (failed, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < l.failChance, l.random.Float64() < l.loseChance
}

// Get implements kv.Store.
func (l *LocalKV) Get(_ context.Context, key string) (kv.Record, error) {
	if failed, lost := l.drawFaults(); failed || lost {
		return kv.Record{}, kv.ErrUnavailable
	}
	r, ok := l.keys.Get(key)
	if !ok {
		return kv.Record{}, kv.ErrNotFound
	}
	return r, nil
}

// List implements kv.Store.
func (l *LocalKV) List(_ context.Context, prefix string) ([]kv.Record, error) {
	if failed, lost := l.drawFaults(); failed || lost {
		return nil, kv.ErrUnavailable
	}
	return l.keys.List(prefix), nil
}

// Write implements kv.Store.
func (l *LocalKV) Write(_ context.Context, put kv.Put) (kv.Revision, error) {
	var r kv.Record
	err := l.change(func() (ok bool) {
		r, ok = l.keys.Write(put)
		return ok
	})
	if err != nil {
		return 0, err
	}
	return r.Revision, nil
}

// Delete implements kv.Store.
func (l *LocalKV) Delete(_ context.Context, key string, expect kv.Revision) error {
	return l.change(func() bool { return l.keys.Delete(key, expect) })
}

// change makes a change that reports whether the key had the expected revision, unless the call is lost; if the response is lost,
// the change is made and the outcome unknown.
func (l *LocalKV) change(apply func() bool) error {
	failed, lost := l.drawFaults()
	if failed {
		return kv.ErrUnavailable
	}
	ok := apply()
	switch {
	case lost:
		return kv.ErrOutcomeUnknown
	case !ok:
		return kv.ErrConflict
	default:
		return nil
	}
}

// Wait implements kv.Store.
func (l *LocalKV) Wait(ctx context.Context, key string, after kv.Revision) (kv.Record, error) {
	if failed, lost := l.drawFaults(); failed || lost {
		return kv.Record{}, kv.ErrUnavailable
	}
	r, ok := l.keys.Wait(key, after, nil)
	if !ok || ctx.Err() != nil {
		return kv.Record{}, kv.ErrNotFound
	}
	return r, nil
}
