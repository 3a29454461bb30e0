package follow

import "github.com/sirupsen/logrus"

// notePosition keeps how far a feed is known, and reports whether the store has lost writes since. It lacks entries of live servers then until these
// write them again, as after an outage in which the entries lapsed, and ends under requests until instances do.
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
		l.ends.TellAgain()
	}
	return true
}

// isEndGone reports whether a change takes an end under a request back.
func isEndGone(c Change) bool {
	_, gone := c.(EndGone)
	return gone
}
