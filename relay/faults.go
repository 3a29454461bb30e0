package relay

import (
	"github.com/pkg/errors"

	"junctioncross/follow"
	"junctioncross/supervise"
)

// partName is the name of this part in lines on panics.
const partName = "feeds"

// errPanicked means that a record could not be decoded because of a fault of the program.
var errPanicked = errors.New("relay: panic over a record")

// decode turns records into changes. If that panics, it leaves out the records over which it does. Not so for configurations: then the feed is
// not known, since what is in force may have been revoked.
func (s *Source) decode(feed follow.Feed, records []Record) []follow.Change {
	if feed == follow.FeedConfig {
		return s.store.Decode(records)
	}
	var out []follow.Change
	if s.guard.Call(partName, supervise.NoWork, func() { out = s.store.Decode(records) }) {
		return out
	}
	out = nil
	for i := range records {
		out = append(out, s.decodeOne(records[i:i+1])...)
	}
	return out
}

// decodeOne turns one record into changes.
func (s *Source) decodeOne(record []Record) (out []follow.Change) {
	work := func() supervise.Work {
		return supervise.Work{Record: record[0].Key, Revision: record[0].Revision.Revision()}
	}
	if !s.guard.Call(partName, work, func() { out = s.store.Decode(record) }) {
		return []follow.Change{follow.Unreadable{Key: record[0].Key, Err: errPanicked}}
	}
	return out
}
