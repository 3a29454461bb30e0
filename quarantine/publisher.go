package quarantine

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"junctioncross/loglimit"
	"junctioncross/metrics"
	"junctioncross/retry"
	"junctioncross/supervise"
	"junctioncross/timer"
)

const (
	// partName is the name of this part in lines on panics.
	partName = "quarantine"
	// batchDelay is how long ends are gathered before they are written: when a server terminates, all requests that it
	// ran break within less.
	batchDelay = 60 * time.Millisecond
	// batchSize is the number of ends that one call writes.
	batchSize = 24
	// minBackoff and maxBackoff bound the pause after a failed call. Meanwhile, an instance whose writes the store
	// rejects passes its ends to other instances as well.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 1500 * time.Millisecond
	// proofPeriod is how often proofs are published, if there are any.
	proofPeriod = 250 * time.Millisecond
	// proofWriters is how many of the instances publish a proof in the first period in which all know it, in the mean; their number
	// doubles with each further period.
	proofWriters = 4.0
	// callTimeout bounds one call.
	callTimeout = 700 * time.Millisecond
)

// EndStore writes to the store, where all instances read which servers terminated under which requests.
type EndStore interface {
	// Publish writes ends to the store, where their records last for as long as ends count, and removes the records of
	// cleared ones.
	Publish(ctx context.Context, ends, cleared []End) error
	// PublishProofs writes proofs to the store, where their records last for as long as ends count.
	PublishProofs(ctx context.Context, proofs []Proof) error
}

// Instances returns the number of instances that may publish the same proofs.
type Instances interface{ Instances() int }

// Publisher publishes the ends that a Book learns of: it writes them to the store, where all instances read them.
type Publisher struct {
	book      *Book
	store     EndStore
	instances Instances
	clock     *timer.Service
	stats     *metrics.Registry
	log       *logrus.Logger
	wake      chan struct{}
	// proofPeriods is for how many periods there have been proofs to publish; only the Publisher's goroutine uses it.
	proofPeriods int
	// faultLines limits the rate of the log lines on ends that can't be used; the counter counts all.
	faultLines loglimit.Limiter
}

// NewPublisher returns a Publisher and starts it; it stops when ctx ends.
func NewPublisher(
	ctx context.Context, book *Book, store EndStore, instances Instances, clock *timer.Service, stats *metrics.Registry,
	log *logrus.Logger,
) *Publisher {
	p := &Publisher{
		book: book, store: store, instances: instances, clock: clock, stats: stats, log: log, wake: make(chan struct{}, 1),
	}
	guard := supervise.New(clock, stats, log)
	go func() { guard.Keep(ctx, partName, supervise.NoWork, p.run) }()
	return p
}

// run publishes until ctx ends. After a panic it goes on with what the book holds as not published.
func (p *Publisher) run(ctx context.Context) {
	ticks := p.clock.Subscribe(proofPeriod)
	defer ticks.Stop()
	defer p.Wake()
	for {
		select {
		case <-p.wake:
			p.clock.Sleep(ctx, batchDelay)
			p.publishAll(ctx)
		case <-p.book.republish:
			p.publishAll(ctx)
		case <-ticks.C():
			p.publishProofs(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Wake starts publishing soon, since there is something to publish; it does not block.
func (p *Publisher) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Unpublished returns ends that could not be published yet, so that other instances can publish them.
func (p *Publisher) Unpublished() []End {
	if p.book.Size() == 0 {
		return nil
	}
	ends, _ := p.book.Unpublished(batchSize)
	return ends
}

// Adopt adds ends that another instance could not publish, in order to publish them.
func (p *Publisher) Adopt(ends []End) {
	for _, e := range ends {
		p.noteFault(e)
		if p.book.Confirm(e, p.clock.Now()) {
			p.Wake()
		}
	}
}

// Hear takes note of ends that other instances will write to the store.
func (p *Publisher) Hear(ends []End) {
	for _, e := range ends {
		p.noteFault(e)
		p.book.Hear(e, p.clock.Now())
	}
}

// noteFault counts and logs an end of another instance that the book can't use.
func (p *Publisher) noteFault(e End) {
	field := e.Fault()
	if field == "" {
		return
	}
	p.stats.Counter("ends_dropped_total{field=\"" + field + "\"}").Inc(1)
	if !p.faultLines.Allow("end", p.clock.Now()) {
		return
	}
	p.log.WithFields(logrus.Fields{"fingerprint": e.Request.String(), "field": field, "value": e.shownValue(field)}).
		Warn("end of another instance not used")
}

// publishAll writes until nothing is left to publish.
func (p *Publisher) publishAll(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		ends, cleared := p.book.Unpublished(batchSize)
		if len(ends)+len(cleared) == 0 {
			return
		}
		if err := p.publishBatch(ctx, ends, cleared); err != nil {
			if failures == 0 {
				p.log.WithField("ends", len(ends)).WithError(err).Warn("ends of servers not told")
			}
			p.stats.Counter("quarantine_tells_failed_total").Inc(1)
			p.clock.Sleep(ctx, retry.Backoff(minBackoff, maxBackoff, failures))
			failures++
			continue
		}
		failures = 0
		p.book.MarkPublished(ends, cleared)
	}
}

func (p *Publisher) publishBatch(ctx context.Context, ends, cleared []End) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.stats.Counter("quarantine_tells_total").Inc(1)
	return p.store.Publish(ctx, ends, cleared)
}

// publishProofs publishes the pending proofs, if this instance is among those that do so now: what one instance knows to be harmless,
// most others do as well, and one of them has to tell the rest.
func (p *Publisher) publishProofs(ctx context.Context) {
	pending := p.book.PendingProofs(batchSize)
	if len(pending) == 0 {
		p.proofPeriods = 0
		return
	}
	chance := proofWriters * math.Exp2(float64(p.proofPeriods)) / float64(max(p.instances.Instances(), 1))
	p.proofPeriods++
	if rand.Float64() >= chance {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p.stats.Counter("quarantine_tells_total").Inc(1)
	if err := p.store.PublishProofs(ctx, pending); err != nil {
		p.stats.Counter("quarantine_tells_failed_total").Inc(1)
		return
	}
	p.book.AddProofs(pending, p.clock.Now())
}
