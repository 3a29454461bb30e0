package quarantine

import (
	"slices"
	"time"
)

// maxAttempts is the number of attempts that are kept for each end. Two different ones suffice to tell whether an end
// occurred in an attempt other than a given one.
const maxAttempts = 2

// endState is how far the confirmation and publication of an end have come.
type endState int

const (
	// suspected ends already count on this instance; it is being checked whether the server has terminated.
	suspected endState = iota
	// confirmed ends have yet to be written to the store, where all instances read them.
	confirmed
	// published ends have been written to the store.
	published
	// listed ends have been read from the store.
	listed
)

// requestRecord is a request under which servers have terminated. It holds the ends by server.
type requestRecord struct {
	ends map[string]*endRecord
}

// endRecord is what is known of one end.
type endRecord struct {
	attempts []string
	at       time.Time
	state    endState
	// publishedHere is true when this instance wrote the end to the store.
	publishedHere bool
}

// addAttempt records an attempt in which the end occurred, up to maxAttempts.
func (e *endRecord) addAttempt(attempt string) {
	if len(e.attempts) < maxAttempts && !slices.Contains(e.attempts, attempt) {
		e.attempts = append(e.attempts, attempt)
	}
}

// hasOtherAttempt reports whether a server terminated under another attempt.
func (r *requestRecord) hasOtherAttempt(attempt string) bool {
	for _, record := range r.ends {
		for _, a := range record.attempts {
			if a != attempt {
				return true
			}
		}
	}
	return false
}

// latestEnd returns when the instance learned of the latest end.
func (r *requestRecord) latestEnd() time.Time {
	var last time.Time
	for _, record := range r.ends {
		if record.at.After(last) {
			last = record.at
		}
	}
	return last
}
