package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"junctioncross/kv"
	"junctioncross/link"
	"junctioncross/retry"
	"junctioncross/revision"
)

const (
	// minRetryDelay is the delay after the first failed call to the key-value service, and before the next read while the
	// service holds no head.
	minRetryDelay = 200 * time.Millisecond
	// roleCheckPeriod is how often an instance that is not a relay checks whether it has become one.
	roleCheckPeriod = time.Second
	// maxRetryDelay limits the delay between failed calls to the key-value service.
	maxRetryDelay = 5 * time.Second
	// directReadPeriod is the mean interval at which an instance reads the key-value service itself when no relay reaches it.
	directReadPeriod = 5 * time.Second
	// relayProgressLimit is how long a relay counts as reaching the key-value service after its last answer from it. A watch
	// lasts up to nine seconds without an answer.
	relayProgressLimit = 20 * time.Second
	fetchTimeout       = 3 * time.Second
)

// watchHead follows the head in the key-value service while this instance is a relay. Otherwise it reads the head occasionally
// when this instance has no configuration or no relay reaches the service.
func (l *Loop) watchHead(ctx context.Context) {
	var at kv.Revision
	failures := 0
	for ctx.Err() == nil {
		switch {
		case l.relay.Load() && l.deps.Keeper.Revision() > 0 && at > 0:
			failures = l.waitHeadOnce(ctx, &at, failures)
		case l.relay.Load() || l.deps.Keeper.Revision() == 0 && l.alone.Load():
			failures = l.readHeadOnce(ctx, &at, failures)
		case l.deps.Keeper.Revision() == 0 || !l.anyRelayReachesKV():
			_ = l.readHeadOnce(ctx, &at, failures)
			l.deps.Clock.Sleep(ctx, jittered(directReadPeriod))
		default:
			l.deps.Clock.Sleep(ctx, roleCheckPeriod)
		}
	}
}

// waitHeadOnce waits for a head after the revision at; it returns the number of consecutive failures.
func (l *Loop) waitHeadOnce(ctx context.Context, at *kv.Revision, failures int) int {
	head, written, err := l.deps.Store.WaitHead(ctx, *at)
	if err == nil {
		*at = written
		l.offerHead(ctx, head)
	}
	if err == nil || errors.Is(err, revision.ErrNoUpdate) {
		l.kvReachable.Store(true)
		l.post(kvAnswered{})
		return 0
	}
	l.kvReachable.Store(false)
	l.deps.Clock.Sleep(ctx, retryDelay(failures))
	return failures + 1
}

// readHeadOnce reads the head and stores its revision in at; it returns the number of consecutive failures.
func (l *Loop) readHeadOnce(ctx context.Context, at *kv.Revision, failures int) int {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	head, written, err := l.deps.Store.Head(call)
	l.kvReachable.Store(err == nil)
	if err != nil {
		l.deps.Clock.Sleep(ctx, retryDelay(failures))
		return failures + 1
	}
	l.post(kvAnswered{})
	*at = written
	if head.Revision == 0 {
		l.deps.Clock.Sleep(ctx, jittered(minRetryDelay))
		return 0
	}
	l.offerHead(ctx, head)
	return 0
}

func retryDelay(failures int) time.Duration {
	return jittered(retry.Backoff(minRetryDelay, maxRetryDelay, failures))
}

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + rand.Float64()))
}

// offerHead puts a head from the key-value service in force if it is newer.
func (l *Loop) offerHead(ctx context.Context, head revision.Head) {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	changed, err := l.deps.Keeper.Offer(head, func(hash string) ([]byte, error) {
		return l.deps.Store.Segment(call, hash)
	})
	if err != nil {
		l.deps.Stats.Counter("config_fetch_failed_total").Inc(1)
		return
	}
	if changed {
		l.post(configurationChanged{})
	}
}

// anyRelayReachesKV reports whether another instance of the domain has recently received an answer from the key-value service.
func (l *Loop) anyRelayReachesKV() bool {
	for _, s := range l.Statuses() {
		if s.Name != l.self.Name && s.KVAnswers > 0 && l.reachedKVLately(s) {
			return true
		}
	}
	return false
}

// reachedKVLately reports whether the number of answers to the instance has changed within relayProgressLimit; only watchHead
// uses it.
func (l *Loop) reachedKVLately(s InstanceStatus) bool {
	now := l.deps.Clock.Now()
	last, ok := l.relayProgress[s.Name]
	if !ok || last.answers != s.KVAnswers {
		l.relayProgress[s.Name] = kvProgress{answers: s.KVAnswers, changedAt: now}
		return true
	}
	return now.Sub(last.changedAt) < relayProgressLimit
}

// fetchNewer fetches the configuration from the instance with the highest revision, if that is newer than the own one.
func (l *Loop) fetchNewer() {
	best := InstanceStatus{Revision: l.deps.Keeper.Revision()}
	for name, s := range l.members.statuses {
		if s.Revision > best.Revision && name != l.self.Name {
			best = s
		}
	}
	if best.Addr == "" || l.fetching.Swap(true) {
		return
	}
	go func() {
		err := l.fetchFrom(best.Addr)
		l.fetching.Store(false)
		if err != nil {
			l.deps.Stats.Counter("config_fetch_failed_total").Inc(1)
		}
	}()
}

// fetchFrom requests the head of an instance of the domain and puts it in force if it is newer.
func (l *Loop) fetchFrom(addr string) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	head, err := link.Call[empty, revision.Head](ctx, l.deps.Links, addr, link.KindHead, empty{})
	if err != nil {
		return err
	}
	return l.offerFrom(ctx, addr, head)
}

// offerFrom puts a head that an instance sent in force if it is newer, with the segments of that instance.
func (l *Loop) offerFrom(ctx context.Context, addr string, head revision.Head) error {
	changed, err := l.deps.Keeper.Offer(head, l.segmentFrom(ctx, addr))
	if changed {
		l.post(configurationChanged{})
	}
	return err
}

// segmentFrom returns a function that fetches segments from an instance, or from the key-value service if the instance cannot be
// reached or does not have them.
func (l *Loop) segmentFrom(ctx context.Context, addr string) func(hash string) ([]byte, error) {
	return func(hash string) ([]byte, error) {
		body, err := link.Call[string, []byte](ctx, l.deps.Links, addr, link.KindSegment, hash)
		if errors.Is(err, link.ErrUnreachable) || errors.Is(err, link.ErrRefused) {
			return l.deps.Store.Segment(ctx, hash)
		}
		return body, err
	}
}
