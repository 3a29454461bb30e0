package standin

import (
	"context"
	"math/rand/v2"
	"sync"

	"junctioncross/kv"
)

// Local is the key-value service without a network: it loses calls and answers at random, by a seed.
type Local struct {
	keys *Keys

	mu     sync.Mutex
	random *rand.Rand
	// fail and lose are the chances that a call has no effect, and that it has one but its answer is lost.
	fail float64
	lose float64
}

// NewLocal returns a Local over keys.
func NewLocal(keys *Keys, seed uint64, fail, lose float64) *Local {
	return &Local{keys: keys, random: rand.New(rand.NewPCG(seed, seed)), fail: fail, lose: lose}
}

// Heal ends the faults.
func (l *Local) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail, l.lose = 0, 0
}

func (l *Local) draw() (failed, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < l.fail, l.random.Float64() < l.lose
}

// Get implements kv.Store.
func (l *Local) Get(_ context.Context, key string) (kv.Record, error) {
	if failed, lost := l.draw(); failed || lost {
		return kv.Record{}, kv.ErrUnavailable
	}
	r, ok := l.keys.Get(key)
	if !ok {
		return kv.Record{}, kv.ErrNotFound
	}
	return r, nil
}

// List implements kv.Store.
func (l *Local) List(_ context.Context, prefix string) ([]kv.Record, error) {
	if failed, lost := l.draw(); failed || lost {
		return nil, kv.ErrUnavailable
	}
	return l.keys.List(prefix), nil
}

// Write implements kv.Store.
func (l *Local) Write(_ context.Context, put kv.Put) (kv.Revision, error) {
	failed, lost := l.draw()
	if failed {
		return 0, kv.ErrUnavailable
	}
	r, ok := l.keys.Write(put)
	switch {
	case lost:
		return 0, kv.ErrOutcomeUnknown
	case !ok:
		return 0, kv.ErrConflict
	default:
		return r.Revision, nil
	}
}

// Delete implements kv.Store.
func (l *Local) Delete(_ context.Context, key string, expect kv.Revision) error {
	failed, lost := l.draw()
	if failed {
		return kv.ErrUnavailable
	}
	ok := l.keys.Delete(key, expect)
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
func (l *Local) Wait(ctx context.Context, key string, after kv.Revision) (kv.Record, error) {
	if failed, lost := l.draw(); failed || lost {
		return kv.Record{}, kv.ErrUnavailable
	}
	r, ok := l.keys.Wait(key, after, nil)
	if !ok || ctx.Err() != nil {
		return kv.Record{}, kv.ErrNotFound
	}
	return r, nil
}
