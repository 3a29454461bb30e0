package follow

import "github.com/sirupsen/logrus"

// notePosition records up to which position a feed is known, and reports whether the store has lost writes since the
// last noted position. After a loss the store lacks entries of live servers and ends under requests until the servers and the
// instances have written them again, as after an outage in which the entries expired.
func (l *Loop) notePosition(feed Feed, at Position) bool {
	was := l.positions[feed]
	l.positions[feed] = max(was, at)
	if was == 0 || at.Era() <= was.Era() {
		return false
	}
	l.lastFailure = l.clock.Now()
	l.stats.Counter("store_losses_total{feed=\"" + feed.String() + "\"}").Inc(1)
	l.log.WithFields(logrus.Fields{
		"feed": feed.String(), "era": at.Era(), "was": was.Era(), "at": at.Revision(), "held": was.Revision(),
	}).Warn("store has lost writes")
	if feed == FeedQuarantine {
		l.ends.Republish()
	}
	return true
}

// isEndGone reports whether a change removes an end under a request.
func isEndGone(c Change) bool {
	_, gone := c.(EndGone)
	return gone
}
