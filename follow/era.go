package follow

import "github.com/sirupsen/logrus"

// noteEra keeps how far a feed is known. A store that has lost writes lacks entries of live servers until these write them again, as after an
// outage in which the entries lapsed.
func (l *Loop) noteEra(feed Feed, at Position) {
	was := l.at[feed]
	l.at[feed] = max(was, at)
	if was == 0 || at.Era() <= was.Era() {
		return
	}
	l.failed = l.clock.Now()
	l.stats.Counter("store_losses_total{feed=\"" + feed.String() + "\"}").Inc(1)
	l.log.WithFields(logrus.Fields{
		"feed": feed.String(), "era": at.Era(), "was": was.Era(), "at": at.Revision(), "held": was.Revision(),
	}).Warn("store has lost writes")
}
