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
	// firstPause and longestPause bound the pause after a failed call; short, since the store takes thousands of reads a
	// second and an instance that is behind serves old configurations.
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
	// gatherTime is how long after news of servers the next call is sent, so that news which come together cost one call. A
	// leaving server must get no new work after two seconds; the news may pass another instance that waits as long.
	gatherTime = 300 * time.Millisecond
)

// Heard is what a feed tells the control goroutine.
type Heard interface{ heard() }

// heardAll carries the whole content of a feed.
type heardAll struct {
	feed Feed
	News
}

// heardChanges carries what changed since the last message of the feed.
type heardChanges struct {
	feed Feed
	News
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
	if h, ok := heard.(heardChanges); !ok || len(h.Changes) == 0 {
		return
	}
	p.clock.Sleep(ctx, gatherTime)
}

func (p *pump) step(ctx context.Context) Heard {
	if p.at == 0 {
		return p.read(ctx)
	}
	news, err := p.source.Next(ctx, p.feed, p.at)
	if errors.Is(err, ErrHistoryGone) {
		p.at = 0
	}
	if err != nil {
		return heardFailure{feed: p.feed, err: err}
	}
	p.at = max(p.at, news.At)
	return heardChanges{feed: p.feed, News: news}
}

func (p *pump) read(ctx context.Context) Heard {
	news, err := p.source.Read(ctx, p.feed)
	if err != nil {
		return heardFailure{feed: p.feed, err: err}
	}
	p.at = news.At
	return heardAll{feed: p.feed, News: news}
}

func (p *pump) pause(ctx context.Context) {
	full := retry.Doubled(firstPause, longestPause, p.failures)
	p.failures++
	// Half of the pause is random, so that instances which failed together do not come back together.
	pause := full/2 + time.Duration(rand.Float64()*float64(full/2))
	p.clock.Sleep(ctx, pause)
}
