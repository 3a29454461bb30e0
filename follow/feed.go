package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"junctioncross/retry"
	"junctioncross/supervise"
	"junctioncross/timer"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed call. They are short, since the store handles thousands
	// of reads a second and an instance that is behind serves old configurations.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// batchDelay is the delay of the next call after updates of servers, so that updates which come together cost one
	// call. A leaving server must get no new work after two seconds, and the update may pass through another instance
	// that waits just as long.
	batchDelay = 300 * time.Millisecond
)

// FeedEvent is a message of a feed's poller to the control goroutine.
type FeedEvent interface{ feedEvent() }

// fullFeed carries the complete content of a feed.
type fullFeed struct {
	feed Feed
	Updates
}

// feedUpdates carries what has changed since the last message of the feed.
type feedUpdates struct {
	feed Feed
	Updates
}

// feedFailure reports that a call to the source failed.
type feedFailure struct {
	feed Feed
	err  error
}

func (fullFeed) feedEvent()    {}
func (feedUpdates) feedEvent() {}
func (feedFailure) feedEvent() {}

// delivery is an event on its way to the control goroutine, which tells the poller over handled whether it panicked over the event.
type delivery struct {
	event   FeedEvent
	handled chan<- bool
}

// poller polls one feed and delivers what it receives until ctx ends.
type poller struct {
	source Source
	clock  *timer.Service
	feed   Feed
	events chan<- delivery
	// position is where the next poll goes on; 0 means that the full feed must be read.
	position Position
	failures int
	// again is true if the full feed is to be read again because of a panic, once pause is over.
	again bool
	pause supervise.Pause
}

// run polls until ctx ends. It begins with the full feed: after a panic it is not known what was missed.
func (p *poller) run(ctx context.Context) {
	p.position = 0
	for ctx.Err() == nil {
		event := p.poll(ctx)
		if !p.deliver(ctx, event) {
			return
		}
		if _, failed := event.(feedFailure); failed {
			p.backOff(ctx)
			continue
		}
		p.failures = 0
		if p.feed == FeedServers {
			p.waitForMore(ctx, event)
		}
	}
}

// work returns what the poller was working on, for the log.
func (p *poller) work() supervise.Work {
	return supervise.Work{Record: p.feed.String(), Revision: p.position.Revision()}
}

// deliver passes an event on and waits until it is handled; it reports false if ctx has ended.
func (p *poller) deliver(ctx context.Context, event FeedEvent) bool {
	handled := make(chan bool, 1)
	select {
	case p.events <- delivery{event: event, handled: handled}:
	case <-ctx.Done():
		return false
	}
	select {
	case whole := <-handled:
		if !whole {
			p.again = true
			p.pause.Begin(p.clock.Now())
		}
		return true
	case <-ctx.Done():
		return false
	}
}

// waitForMore waits for batchDelay after updates of servers, so that updates which come together cost one call.
func (p *poller) waitForMore(ctx context.Context, event FeedEvent) {
	if updates, ok := event.(feedUpdates); !ok || len(updates.Changes) == 0 {
		return
	}
	p.clock.Sleep(ctx, batchDelay)
}

func (p *poller) poll(ctx context.Context) FeedEvent {
	if p.again && p.pause.Over(p.clock.Now()) {
		p.again, p.position = false, 0
	}
	if p.position == 0 {
		return p.readFull(ctx)
	}
	updates, err := p.source.Next(ctx, p.feed, p.position)
	if errors.Is(err, ErrHistoryGone) {
		p.position = 0
	}
	if err != nil {
		return feedFailure{feed: p.feed, err: err}
	}
	p.position = max(p.position, updates.At)
	return feedUpdates{feed: p.feed, Updates: updates}
}

func (p *poller) readFull(ctx context.Context) FeedEvent {
	updates, err := p.source.Read(ctx, p.feed)
	if err != nil {
		return feedFailure{feed: p.feed, err: err}
	}
	p.position = updates.At
	return fullFeed{feed: p.feed, Updates: updates}
}

func (p *poller) backOff(ctx context.Context) {
	full := retry.Backoff(minBackoff, maxBackoff, p.failures)
	p.failures++
	p.clock.Sleep(ctx, timer.HalfJitter(full))
}
