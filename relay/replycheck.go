package relay

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"junctioncross/follow"
)

const (
	// knownSlack is how much faster the clock of a relay may run during a poll.
	knownSlack = 100 * time.Millisecond
	// maxEraStep is the greatest number of losses of writes that a store can have had since a position of it was known, and maxRevisionStep
	// that of changes.
	maxEraStep      = 1 << 10
	maxRevisionStep = 1 << 40
	// maxRecordAhead is how many changes newer than its answer a record can be: those during the reading of a full feed.
	maxRecordAhead = 1 << 20
)

// errImpossible means that the answer of another instance can't be true, so that nothing of its feed is used.
var errImpossible = errors.Wrap(follow.ErrUnavailable, "relay: answer that can't be true")

// replyFault is a field of the answer to a poll that can't be true.
type replyFault struct {
	field string
	value int64
}

// faultOf returns the field because of which the answer to a poll can't be used, if there is one: its position, or a time up to which
// it holds that has not come yet. The feed was known up to held, and the poll took some time.
func (r *pollReply) faultOf(held follow.Position, took time.Duration) (replyFault, bool) {
	switch {
	case r.At < 0 || held > 0 && isBeyond(r.At, held, maxRevisionStep):
		return replyFault{field: "at", value: int64(r.At)}, true
	case r.Known > took+knownSlack:
		return replyFault{field: "known", value: int64(r.Known)}, true
	default:
		return replyFault{}, false
	}
}

// isBeyond reports whether a position is further after another one than a store can get, with so many changes in an era.
func isBeyond(at, held follow.Position, changes int64) bool {
	if at.Era() != held.Era() {
		return at.Era()-held.Era() > maxEraStep
	}
	return at.Revision()-held.Revision() > changes
}

// correctRevisions gives the records whose revision can't be true the position of the answer, since one that is too high hides all later
// changes of its key, and a full feed without the key removes it. It returns the first of these revisions, and how many there are.
func (r *pollReply) correctRevisions() (first follow.Position, corrected int) {
	for i := range r.Records {
		one := &r.Records[i]
		if one.Revision >= 0 && one.Revision.Era() <= r.At.Era() && !isBeyond(one.Revision, r.At, maxRecordAhead) {
			continue
		}
		if corrected++; corrected == 1 {
			first = one.Revision
		}
		one.Revision = r.At
	}
	return first, corrected
}

// checkReply leaves out what can't be true in the answer to a poll. It returns an error if nothing of the feed can be used.
func (s *Source) checkReply(feed follow.Feed, addr string, r *pollReply, took time.Duration) error {
	held, _ := s.logs[feed].progress()
	if fault, bad := r.faultOf(held, took); bad {
		s.logFault(feed, addr, fault, 1)
		return errImpossible
	}
	if first, corrected := r.correctRevisions(); corrected > 0 {
		s.logFault(feed, addr, replyFault{field: "revision", value: int64(first)}, corrected)
	}
	return nil
}

// logFault counts and logs what can't be true in the answer of another instance; the log has one line a second for each of these.
func (s *Source) logFault(feed follow.Feed, addr string, fault replyFault, times int) {
	s.stats.Counter("relay_values_dropped_total{field=\"" + fault.field + "\"}").Inc(int64(times))
	if !s.faultLines.Allow(addr+" "+fault.field, s.clock.Now()) {
		return
	}
	s.log.WithFields(logrus.Fields{
		"feed": feed.String(), "upstream": addr, "field": fault.field, "value": fault.value, "records": times,
	}).Warn("value of a relay's answer not used")
}
