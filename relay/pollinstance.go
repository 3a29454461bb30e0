package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"junctioncross/follow"
	"junctioncross/link"
)

// pollInstance polls the instance at addr.
func (s *Source) pollInstance(ctx context.Context, addr string, p poll) (update, error) {
	s.stats.Counter("relay_polls_total").Inc(1)
	ctx, cancel := s.clock.WithTimeout(ctx, s.clock.Patience(pollTimeout(p)))
	defer cancel()
	sentAt := s.clock.Now()
	s.attachOwn(&p, addr, sentAt)
	r, err := s.peers.poll(ctx, addr, p)
	switch {
	case errors.Is(err, link.ErrRefused):
		return update{}, refusal{cause: err}
	case err != nil:
		return update{}, errors.Wrap(follow.ErrUnavailable, err.Error())
	}
	if r.ReferTo != "" {
		return update{}, refusal{cause: errNotDirect, referTo: r.ReferTo}
	}
	if r.Behind {
		return update{}, errBehind
	}
	if r.Packed != nil {
		if r.Records, err = decompress(r.Packed); err != nil {
			return update{}, errors.Wrap(follow.ErrUnavailable, err.Error())
		}
	}
	s.applyReply(p, r, addr, sentAt)
	s.addPolledTotals(r.Totals)
	s.fleet.NoteCounts(r.Counts)
	if err := s.checkReply(p.Feed, addr, &r, s.clock.Since(sentAt)); err != nil {
		return update{}, err
	}
	// Known counts from when the poll arrived. Counting from when it was sent, which was earlier, makes the result a little too
	// old rather than too new.
	return update{records: r.Records, position: r.At, known: sentAt.Add(r.Known)}, nil
}

// pollTimeout returns the longest time that the answer to a poll may take: that for which the polled instance may hold it, and the
// timeout of a call.
func pollTimeout(p poll) time.Duration {
	switch {
	case p.Full:
		return fullFeedHold + fullFeedTimeout
	case p.NoWait:
		return peerTimeout
	default:
		return pollHold + peerTimeout
	}
}

// attachOwn adds to a poll of the instance at addr what this instance reports with a poll of the feed.
func (s *Source) attachOwn(p *poll, addr string, sentAt time.Time) {
	s.attachReports(p, addr, sentAt)
	s.attachLoad(p, sentAt)
	if p.Feed == follow.FeedQuarantine {
		p.Ends = s.ends.Unpublished()
	}
	p.DirectAddr = s.directAddr()
	if p.Feed == follow.FeedConfig && !p.Full {
		p.Name, p.Domain = s.self.Name, s.self.Domain
	}
}
