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
	// published ends have been written to the store, or will be by other instances.
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
	suspects Suspects
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

// endLocked returns the record of an end, or nil if there is none.
func (b *Book) endLocked(request Fingerprint, server string) *endRecord {
	r := b.requests[request]
	if r == nil {
		return nil
	}
	return r.ends[server]
}

// recordLocked returns the record of a request, which it adds if needed; if there are too many, another one is evicted.
func (b *Book) recordLocked(request Fingerprint) *requestRecord {
	if r := b.requests[request]; r != nil {
		return r
	}
	if len(b.requests) >= b.settings.MaxRequests {
		b.removeLocked(withFewestEnds(b.requests))
	}
	r := &requestRecord{ends: map[string]*endRecord{}}
	b.requests[request] = r
	b.size.Store(int64(len(b.requests)))
	return r
}

// counted is what has a number of ends.
type counted interface{ endCount() int }

func (r *requestRecord) endCount() int { return len(r.ends) }

func (r *partRecord) endCount() int { return len(r.ends) }

// withFewestEnds returns the key of the record with the fewest ends, which is evicted when there are too many: a flood of records with
// one end each evicts none that quarantines anything.
func withFewestEnds[K comparable, R counted](records map[K]R) K {
	var least K
	fewest := 0
	for key, r := range records {
		if fewest == 0 || r.endCount() < fewest {
			least, fewest = key, r.endCount()
		}
		if fewest == 1 {
			break
		}
	}
	return least
}

// forgetLocked removes an end, and its request with the last one; the caller holds the lock.
func (b *Book) forgetLocked(request Fingerprint, server string) {
	r := b.requests[request]
	if r == nil {
		return
	}
	if record := r.ends[server]; record != nil {
		b.parts.remove(request, server, record.suspects)
	}
	delete(r.ends, server)
	if len(r.ends) == 0 {
		b.removeLocked(request)
	}
}

// removeLocked removes a request with all its ends; the caller holds the lock.
func (b *Book) removeLocked(request Fingerprint) {
	delete(b.requests, request)
	b.size.Store(int64(len(b.requests)))
}
