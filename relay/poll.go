package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"junctioncross/backend"
	"junctioncross/demand"
	"junctioncross/follow"
	"junctioncross/keys"
	"junctioncross/lenient"
	"junctioncross/link"
	"junctioncross/quarantine"
)

const (
	// pollHold is the longest time for which a relay holds a poll while it has no updates. The failure of a relay is noticed
	// that much later at most.
	pollHold = 800 * time.Millisecond
	// peerTimeout bounds a request to another instance that is not held, and the time that the answer to a held poll may take
	// beyond pollHold: many times what a call within the building takes on a slow machine.
	peerTimeout = 400 * time.Millisecond
	// fullFeedHold is the longest time for which an instance that is starting holds a request for a full feed that it can answer
	// once it has read the feed itself. It is short so that others soon ask the standby relay when the relay cannot reach the
	// store.
	fullFeedHold = 400 * time.Millisecond
	// freshTime is how old the last confirmation of a relay's configuration may be for the relay to serve others: a full wait
	// at the store and its answer.
	freshTime = configWait + 600*time.Millisecond
)

// Reasons for which a relay does not serve.
var (
	errNotDirect = errors.New("relay: does not follow the store itself")
	errBehind    = errors.New("relay: history does not reach back that far")
)

// poll asks another instance for updates of a feed.
type poll struct {
	Feed  follow.Feed     `cbor:"1,keyasint"`
	After follow.Position `cbor:"2,keyasint"`
	// Full asks for the full content of the feed.
	Full bool `cbor:"3,keyasint,omitempty"`
	// Reports holds the polling instance's own reports on servers.
	Reports lenient.List[backend.SharedReport] `cbor:"4,keyasint,omitempty"`
	// Mark is the Mark of the last answer.
	Mark time.Duration `cbor:"5,keyasint,omitempty"`
	// NoWait asks for an answer at once, even if there are no updates.
	NoWait bool `cbor:"6,keyasint,omitempty"`
	// DirectAddr is the address of the polling instance if it follows the store itself.
	DirectAddr string `cbor:"7,keyasint,omitempty"`
	// Ends holds the terminations of servers that the polling instance has not yet written to the store.
	Ends lenient.List[quarantine.End] `cbor:"8,keyasint,omitempty"`
	// Name and Domain identify the polling instance; the relay of its domain counts the instances that poll it by them.
	Name   string `cbor:"9,keyasint,omitempty"`
	Domain string `cbor:"10,keyasint,omitempty"`
	// Load holds the polling instance's own load reports.
	Load *ownLoad `cbor:"11,keyasint,omitempty"`
}

// pollReply is the answer to a poll.
type pollReply struct {
	Records []Record        `cbor:"1,keyasint,omitempty"`
	At      follow.Position `cbor:"2,keyasint"`
	// Known is the moment up to which the feed holds no other changes, as time since the poll arrived; it may be negative.
	Known time.Duration `cbor:"3,keyasint"`
	// Behind is true when the relay's history does not reach back to the position.
	Behind bool `cbor:"4,keyasint,omitempty"`
	// Reports holds the reports on servers that the relay has learned of since the polling instance's Mark.
	Reports lenient.List[backend.SharedReport] `cbor:"5,keyasint,omitempty"`
	// Mark says up to when the reports go, as time since the relay's start.
	Mark time.Duration `cbor:"6,keyasint,omitempty"`
	// ReferTo is the address of an instance that follows the store; an instance that does not follow it sets it in place of
	// updates.
	ReferTo string `cbor:"7,keyasint,omitempty"`
	// Counts holds the number of instances of each domain.
	Counts map[string]int `cbor:"8,keyasint,omitempty"`
	// Packed holds the records in compressed form, in place of Records.
	Packed []byte `cbor:"9,keyasint,omitempty"`
	// Totals holds the totals of the load reports of all domains that are known.
	Totals lenient.List[demand.Totals] `cbor:"10,keyasint,omitempty"`
}

// Register adds the handler of polls to the calls that the instance answers.
func (s *Source) Register(mux *link.Mux) {
	link.Handle(mux, link.KindPoll, func(ctx context.Context, _ keys.Identity, p poll) (pollReply, error) {
		return s.serve(ctx, p)
	})
	s.registerTotals(mux)
}

// serve holds a poll until there are updates or its hold time has passed.
func (s *Source) serve(ctx context.Context, p poll) (pollReply, error) {
	if p.Feed < 0 || int(p.Feed) >= len(s.logs) {
		return pollReply{}, errors.New("relay: unknown feed")
	}
	arrived := s.clock.Now()
	if p.Full {
		return s.serveFull(ctx, p.Feed, arrived)
	}
	s.applyPolledReports(p.Reports)
	s.ends.Adopt(p.Ends)
	s.addPolledLoad(p.Load, arrived)
	s.notePoller(p)
	s.noteDirectPeer(p.DirectAddr, arrived)
	wait := s.clock.After(s.holdTime(p.Feed))
	for {
		v := s.logs[p.Feed].since(p.After)
		switch {
		case s.stopped.Load() || !v.direct || !s.fresh():
			return s.refer()
		case !v.complete:
			return pollReply{Behind: true}, nil
		case p.NoWait || len(v.records) > 0 || p.Feed == follow.FeedServers && s.turnedWorse(p.Mark):
			return s.replyWithUpdates(p, v, arrived)
		}
		select {
		case <-v.changed:
		case <-s.clock.After(s.freshFor()):
		// A relay that has lost the store says so at once. If it held the poll for the rest of its hold time, that would use up
		// the time within which a configuration must be in force.
		case <-wait:
			return s.replyWithUpdates(p, s.logs[p.Feed].since(p.After), arrived)
		case <-ctx.Done():
			return pollReply{}, ctx.Err()
		}
	}
}

// holdTime returns the longest time for which a poll is held.
func (s *Source) holdTime(feed follow.Feed) time.Duration {
	if feed == follow.FeedServers {
		return min(max(reportsHoldTime, time.Duration(s.pollers.count())*holdTimePerPoller), pollHold)
	}
	return pollHold
}

// replyWithUpdates returns the answer to a poll for updates.
func (s *Source) replyWithUpdates(p poll, v view, arrived time.Time) (pollReply, error) {
	r, err := s.replyWithRecords(p.Feed, v, arrived, span{after: p.After, at: v.position})
	if err != nil {
		return pollReply{}, err
	}
	switch p.Feed {
	case follow.FeedServers:
		r.Reports, r.Mark = s.reportsSince(p.Mark)
		r.Totals = s.knownTotals()
	case follow.FeedConfig:
		r.Counts = s.instanceCounts()
	case follow.FeedQuarantine:
	}
	return r, nil
}

// serveFull answers with the full content of a feed. An instance that is starting may have to read the feed first.
func (s *Source) serveFull(ctx context.Context, feed follow.Feed, arrived time.Time) (pollReply, error) {
	wait := s.clock.After(fullFeedHold)
	for {
		config := s.logs[follow.FeedConfig].nextChange()
		v := s.logs[feed].all()
		switch {
		case !s.stopped.Load() && v.position > 0 && s.fresh():
			// An instance that has the feed from a relay may serve it as well: the polling instance knows nothing yet, so it
			// cannot get its own updates back.
			return s.replyWithRecords(feed, v, arrived, span{at: v.position, full: true})
		case s.stopped.Load() || !s.starting():
			return pollReply{}, errNotDirect
		}
		select {
		case <-v.changed:
		case <-config:
		case <-wait:
			return pollReply{}, errNotDirect
		case <-ctx.Done():
			return pollReply{}, ctx.Err()
		}
	}
}

// starting reports whether some feed has not been read yet.
func (s *Source) starting() bool {
	for _, l := range s.logs {
		if at, _ := l.progress(); at == 0 {
			return true
		}
	}
	return false
}

// replyWithRecords returns an answer with the records of a view, which cover the given span of a feed.
func (s *Source) replyWithRecords(feed follow.Feed, v view, arrived time.Time, part span) (pollReply, error) {
	r := pollReply{At: v.position, Known: v.known.Sub(arrived)}
	packed, err := s.logs[feed].compressed(part, v.records)
	if err != nil {
		return pollReply{}, err
	}
	if packed != nil {
		r.Packed = packed
		return r, nil
	}
	r.Records = v.records
	return r, nil
}

// fresh reports whether the configuration was confirmed lately, which shows that the store still answers.
func (s *Source) fresh() bool {
	_, known := s.logs[follow.FeedConfig].progress()
	return s.clock.Since(known) <= freshTime
}

// freshFor returns how long the configuration stays fresh if it is not confirmed again.
func (s *Source) freshFor() time.Duration {
	_, known := s.logs[follow.FeedConfig].progress()
	return max(freshTime-s.clock.Since(known), 0) + time.Millisecond
}
