package quarantine

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"junctioncross/metrics"
	"junctioncross/retry"
	"junctioncross/timer"
)

const (
	// batchDelay is how long ends are gathered before they are written: a server that ends breaks all that it ran within less.
	batchDelay = 60 * time.Millisecond
	// batchSize is the number of ends that one call writes.
	batchSize = 24
	// minBackoff and longestPause bound the pause after a call that failed. An instance that the store turns away tells others as well.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = 700 * time.Millisecond
)

// Register is where all instances read which servers ended under which requests.
type Register interface {
	// Tell writes ends, which last for the time that ends are kept, and removes others.
	Tell(ctx context.Context, ends, absolved []End) error
}

// Teller writes the ends that a Book learns of where all instances read them.
type Teller struct {
	book     *Book
	register Register
	clock    *timer.Service
	stats    *metrics.Registry
	log      *logrus.Logger
	wake     chan struct{}
}

// NewTeller returns a Teller and starts it; it stops when ctx ends.
func NewTeller(
	ctx context.Context, book *Book, register Register, clock *timer.Service, stats *metrics.Registry, log *logrus.Logger,
) *Teller {
	t := &Teller{book: book, register: register, clock: clock, stats: stats, log: log, wake: make(chan struct{}, 1)}
	go func() {
		for {
			select {
			case <-t.wake:
				clock.Sleep(ctx, batchDelay)
				t.publishAll(ctx)
			case <-book.republish:
				t.publishAll(ctx)
			case <-ctx.Done():
				return
			}
		}
	}()
	return t
}

// Wake says that there is something to tell; it does not block.
func (t *Teller) Wake() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Untold returns ends that could not be written yet, for other instances.
func (t *Teller) Untold() []End {
	if t.book.Size() == 0 {
		return nil
	}
	ends, _ := t.book.Untold(batchSize)
	return ends
}

// Adopt takes over ends that another instance could not write.
func (t *Teller) Adopt(ends []End) {
	for _, e := range ends {
		if t.book.Confirm(e, t.clock.Now()) {
			t.Wake()
		}
	}
}

// publishAll writes until nothing is left to tell.
func (t *Teller) publishAll(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		ends, cleared := t.book.Untold(batchSize)
		if len(ends)+len(cleared) == 0 {
			return
		}
		if err := t.publishBatch(ctx, ends, cleared); err != nil {
			if failures == 0 {
				t.log.WithField("ends", len(ends)).WithError(err).Warn("ends of servers not told")
			}
			t.stats.Counter("quarantine_tells_failed_total").Inc(1)
			t.clock.Sleep(ctx, retry.Doubled(minBackoff, maxBackoff, failures))
			failures++
			continue
		}
		failures = 0
		t.book.Told(ends, cleared)
	}
}

func (t *Teller) publishBatch(ctx context.Context, ends, cleared []End) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t.stats.Counter("quarantine_tells_total").Inc(1)
	return t.register.Tell(ctx, ends, cleared)
}
