package follow

import "time"

// Instances tells how many instances there are, which share the source and the limits.
type Instances interface{ Instances() int }

// rhythm is how a feed is followed.
type rhythm struct {
	// wait is the longest that one call waits for news.
	wait time.Duration
	// gather is how long after news the next call is sent, so that news which come together cost one call.
	gather time.Duration
}

const (
	// manyInstances is the number from which calls are spread further: the store counts each, and its rates grow more
	// slowly than the fleet.
	manyInstances = 24
)

var (
	// An answer of the configuration's feed confirms that no key was taken away; the waits leave more than a second of the
	// time for which confirmed keys are accepted.
	configRhythm     = rhythm{wait: 1200 * time.Millisecond}
	configRhythmMany = rhythm{wait: 2200 * time.Millisecond}
	// A leaving server must get no new work after two seconds; news wait for others for a part of that. The waits confirm
	// nothing that is needed often.
	serversRhythm     = rhythm{wait: 8 * time.Second, gather: 250 * time.Millisecond}
	serversRhythmMany = rhythm{wait: 15 * time.Second, gather: 800 * time.Millisecond}
)

// rhythmOf returns how to follow a feed with that many instances; before they are counted, they may be many.
func rhythmOf(feed Feed, instances int) rhythm {
	many := instances >= manyInstances
	switch {
	case feed == FeedConfig && many:
		return configRhythmMany
	case feed == FeedConfig:
		return configRhythm
	case many:
		return serversRhythmMany
	default:
		return serversRhythm
	}
}
