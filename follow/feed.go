package follow

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"junctioncross/retry"
	"junctioncross/timer"
)

const (
	// readTime bounds the reading of a whole feed: a hundred times what the platform's store takes on a calm day.
	readTime = 2 * time.Second
	// answerTime is how long after the end of its wait a watch may be answered.
	answerTime = 1200 * time.Millisecond
	// firstPause and longestPause bound the pause after a failed call; short, since the store takes thousands of reads a
	// second and an instance that is behind serves old configurations.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
)

// Heard is what a feed tells the control goroutine.
type Heard interface{ heard() }

// heardAll carries the whole content of a feed.
type heardAll struct {
	feed    Feed
	changes []Change
	at      Position
	// asked is when the call was sent: what was accepted before that is in it.
	asked time.Time
}

// heardChanges carries what changed since the last message of the feed.
type heardChanges struct {
	feed    Feed
	changes []Change
	at      Position
	// known is the moment up to which nothing else has changed.
	known time.Time
}

// heardFailure says that a call failed.
type heardFailure struct {
	feed Feed
	err  error
}

func (heardAll) heard()     {}
func (heardChanges) heard() {}
func (heardFailure) heard() {}

// pump follows one feed and delivers what it hears until ctx ends.
type pump struct {
	source Source
	clock  *timer.Service
	feed   Feed
	// rhythm tells how long to wait, which depends on how many instances ask.
	rhythm func() rhythm
	out    chan<- Heard
	// at is where to go on from; 0 means that the feed must be read whole.
	at       Position
	failures int
}

func (p *pump) run(ctx context.Context) {
	for ctx.Err() == nil {
		heard := p.step(ctx)
		select {
		case p.out <- heard:
		case <-ctx.Done():
			return
		}
		if _, failed := heard.(heardFailure); failed {
			p.pause(ctx)
			continue
		}
		p.failures = 0
		if p.feed == FeedServers {
			p.gather(ctx, heard)
		}
	}
}

// gather waits a little after news of servers, so that those that come together cost one call.
func (p *pump) gather(ctx context.Context, heard Heard) {
	if h, ok := heard.(heardChanges); !ok || len(h.changes) == 0 {
		return
	}
	p.clock.Sleep(ctx, p.rhythm().gather)
}

func (p *pump) step(ctx context.Context) Heard {
	if p.at == 0 {
		return p.read(ctx)
	}
	asked, wait := p.clock.Now(), p.rhythm().wait
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	changes, at, err := p.source.Next(ctx, p.feed, p.at, wait)
	switch {
	case errors.Is(err, ErrHistoryGone):
		p.at = 0
		return heardFailure{feed: p.feed, err: err}
	case err != nil:
		return heardFailure{feed: p.feed, err: err}
	}
	p.at = max(p.at, at)
	known := asked
	if len(changes) == 0 && p.clock.Since(asked) >= wait {
		// The store held the call for the whole wait and had nothing to say.
		known = asked.Add(wait)
	}
	return heardChanges{feed: p.feed, changes: changes, at: p.at, known: known}
}

func (p *pump) read(ctx context.Context) Heard {
	asked := p.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	changes, at, err := p.source.Read(ctx, p.feed)
	if err != nil {
		return heardFailure{feed: p.feed, err: err}
	}
	p.at = at
	return heardAll{feed: p.feed, changes: changes, at: at, asked: asked}
}

func (p *pump) pause(ctx context.Context) {
	full := retry.Doubled(firstPause, longestPause, p.failures)
	p.failures++
	// Half of the pause is random, so that instances which failed together do not come back together.
	pause := full/2 + time.Duration(rand.Float64()*float64(full/2))
	p.clock.Sleep(ctx, pause)
}
