package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

// Settings say when a request is quarantined, that is, sent to no server any more.
type Settings struct {
	// Ends is the number of servers that must have terminated under a request of which the caller has made several
	// attempts, and the number of servers and of requests that it takes to blame a part of their prompts.
	Ends int
	// EndsOfOne is the same for a request with a single attempt. It should be larger: a server that terminates takes all
	// its requests with it, and these are resumed together on the next server. Nearly all requests that shared three
	// ends in a row this way were harmless single attempts.
	EndsOfOne int
	// Keep is how long an end counts.
	Keep time.Duration
	// MaxRequests is the greatest number of requests, and of parts, whose ends are kept.
	MaxRequests int
}

// minPublishedClear is the least number of ends that a request must have for its clearing to be published. A single end
// does not quarantine a request, and publishing that it is cleared would double the writes for all requests that merely
// ran beside one that terminated a server.
const minPublishedClear = 2

// Book records which servers terminated under which requests, and decides which requests are quarantined.
type Book struct {
	settings Settings

	mu       sync.Mutex
	requests map[Fingerprint]*requestRecord
	// released holds, for each request that was quarantined before, the moment at which it was last released.
	released map[Fingerprint]time.Time
	// parts holds the ends by the parts of the requests' prompts.
	parts *parts
	// cleared holds ends that have yet to be removed from the store.
	cleared []End
	// size is the number of requests. It can be read without the lock, which is not needed while there are none, as is
	// usual.
	size atomic.Int64
	// republish delivers a value when ends that were published have to be written again.
	republish chan struct{}
}

// NewBook returns a Book without ends.
func NewBook(settings Settings) *Book {
	return &Book{
		settings: settings, requests: map[Fingerprint]*requestRecord{}, released: map[Fingerprint]time.Time{}, parts: newParts(settings),
		republish: make(chan struct{}, 1),
	}
}

// Size returns the number of requests of which ends are known.
func (b *Book) Size() int { return int(b.size.Load()) }

// Suspect adds an end that this instance suspects; whether the server has terminated is still being checked.
func (b *Book) Suspect(e End, now time.Time) { b.add(e, suspected, now) }

// Confirm adds an end that was confirmed by this instance, or by one that cannot write to the store. It reports whether
// the end must be published.
func (b *Book) Confirm(e End, now time.Time) bool { return b.add(e, confirmed, now) }

// Hear adds an end that other instances have yet to write to the store.
func (b *Book) Hear(e End, now time.Time) { b.add(e, published, now) }

// AddListed adds an end that was read from the store, and reports whether this instance has read it for the first time.
func (b *Book) AddListed(e End, now time.Time) bool { return b.add(e, listed, now) }

// add raises an end to a state, and reports whether it was below that state. An end with a fault is not added.
func (b *Book) add(e End, to endState, now time.Time) bool {
	if e.Fault() != "" {
		return false
	}
	e.Suspects = e.shortened()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.recordLocked(e.Request)
	record := r.ends[e.Server]
	isNew := record == nil
	if isNew {
		record = &endRecord{at: now, state: to, suspects: e.Suspects}
		r.ends[e.Server] = record
	}
	record.addAttempt(e.Attempt)
	b.parts.add(e.Request, e.Server, e.Suspects, to == suspected, record.at, now)
	if isNew {
		return true
	}
	if record.state >= to {
		return false
	}
	record.state = to
	return true
}

// Withdraw removes an end that is only suspected, since the server turned out to be running.
func (b *Book) Withdraw(e End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if record := b.endLocked(e.Request, e.Server); record != nil && record.state == suspected {
		b.forgetLocked(e.Request, e.Server)
	}
}

// Forget removes an end whose record was removed from the store.
func (b *Book) Forget(e End, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireLocked(e.Request, e.Server, now)
}

// Replace applies a full read of the ends in the store: listed ends that it does not contain are removed.
func (b *Book) Replace(ends []End, now time.Time) {
	current := make(map[End]bool, len(ends))
	for _, e := range ends {
		current[End{Request: e.Request, Server: e.Server}] = true
		b.AddListed(e, now)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for request, r := range b.requests {
		for server, record := range r.ends {
			if record.state == listed && !current[End{Request: request, Server: server}] {
				b.expireLocked(request, server, now)
			}
		}
	}
}

// Clear clears a request, removing all its ends, since a server has run it without terminating: a request that
// terminates every server that begins it never gets so far. It returns the number of removed ends.
func (b *Book) Clear(request Fingerprint) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[request]
	if r == nil {
		return 0
	}
	if len(r.ends) >= minPublishedClear && len(b.cleared) < b.settings.MaxRequests {
		for server := range r.ends {
			b.cleared = append(b.cleared, End{Request: request, Server: server})
		}
	}
	for server, record := range r.ends {
		b.parts.remove(request, server, record.suspects)
	}
	b.removeLocked(request)
	delete(b.released, request)
	return len(r.ends)
}

// Quarantined reports whether an attempt at a request is quarantined, and for how long at most.
func (b *Book) Quarantined(request Fingerprint, attempt string, now time.Time) (time.Duration, bool) {
	if b.Size() == 0 {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[request]
	if r == nil || !b.quarantinedLocked(request, r, attempt) {
		return 0, false
	}
	return max(b.settings.Keep-now.Sub(r.latestEnd()), 0), true
}

// quarantinedLocked reports whether the ends of a request quarantine an attempt at it; the caller holds the lock.
func (b *Book) quarantinedLocked(request Fingerprint, r *requestRecord, attempt string) bool {
	if _, wasReleased := b.released[request]; wasReleased {
		return true
	}
	return len(r.ends) >= b.settings.EndsOfOne || len(r.ends) >= b.settings.Ends && r.hasOtherAttempt(attempt)
}

// Ends returns the number of servers that have terminated under a request.
func (b *Book) Ends(request Fingerprint) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.requests[request]; r != nil {
		return len(r.ends)
	}
	return 0
}
