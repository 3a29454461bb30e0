package follow

import (
	"github.com/sirupsen/logrus"

	"junctioncross/quarantine"
)

// addEnd adds an end of a server under a request that was read from the store.
func (l *Loop) addEnd(e quarantine.End) {
	if !l.ends.AddListed(e, l.clock.Now()) {
		return
	}
	l.log.WithFields(logrus.Fields{"fingerprint": e.Request.String(), "ends": l.ends.Ends(e.Request)}).Info("end under a request heard")
}

// dropUnlistedEnds forgets the ends that a full read of the feed does not list.
func (l *Loop) dropUnlistedEnds(changes []Change) {
	var ends []quarantine.End
	for _, c := range changes {
		if seen, ok := c.(EndSeen); ok {
			ends = append(ends, seen.End)
		}
	}
	l.ends.Replace(ends, l.clock.Now())
}
