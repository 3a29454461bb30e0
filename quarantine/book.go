package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxAttempts is the number of attempts that are kept for each end: one tells that another attempt is another one, two that there are
// several.
const maxAttempts = 2

// Terms say when a request is kept from servers.
type Terms struct {
	// Ends is the number of servers that must have ended under a request which comes in several attempts of its caller.
	Ends int
	// EndsOfOne is the same for one attempt. A server that ends takes all that it runs with it, and what it ran goes on at the next one
	// together: of those that shared three ends in a row nearly all were single attempts that did no harm.
	EndsOfOne int
	// Keep is how long an end counts.
	Keep time.Duration
	// Most is the number of requests of which ends are kept.
	Most int
}

// minPublishedClear is the number of ends from which others are told that a request is harmless: one alone keeps it from nothing, and telling
// would double the writes for all that merely ran beside one that ended a server.
const minPublishedClear = 2

const (
	// releasedFactor is how many times longer than an end counts it is releasedFactor that a request was kept from servers: when it is tried again, the
	// first server that ends under it is the last for that time, not the third.
	releasedFactor = 6
	// minKeepShare is the part of its time for which an end is kept for certain. One that is gone sooner was taken back.
	minKeepShare = 0.5
)

// endState is how far the news of an end has come.
type endState int

const (
	// suspected ends count here; whether the server has ended is being found out.
	suspected endState = iota
	// confirmed ends have to be written where all instances read them.
	confirmed
	// published ends have been published there.
	published
	// listed ends were read there.
	listed
)

// Book holds what servers ended under.
type Book struct {
	terms Terms

	mu       sync.Mutex
	requests map[Fingerprint]*requestRecord
	// released holds when requests that were kept from servers could be tried again.
	released map[Fingerprint]time.Time
	// cleared are ends that others still have to be told to forget.
	cleared []End
	// size is the number of cases, for those who ask while there are none.
	size atomic.Int64
	// republish delivers a value when ends have to be written that were before.
	republish chan struct{}
}

// requestRecord is a request under which servers have ended, each with what is known of that end.
type requestRecord struct {
	ends map[string]*endRecord
}

// endRecord is what is known of one end.
type endRecord struct {
	attempts []string
	at       time.Time
	state    endState
	// publishedHere is true when this instance wrote the end.
	publishedHere bool
}

// NewBook returns a Book without ends.
func NewBook(terms Terms) *Book {
	return &Book{
		terms: terms, requests: map[Fingerprint]*requestRecord{}, released: map[Fingerprint]time.Time{}, republish: make(chan struct{}, 1),
	}
}

// Size returns the number of requests of which ends are known.
func (b *Book) Size() int { return int(b.size.Load()) }

// Suspect keeps an end that this instance may have seen.
func (b *Book) Suspect(e End, now time.Time) { b.add(e, suspected, now) }

// Confirm keeps an end that this instance, or one that cannot write, has seen. It reports whether others have to be told.
func (b *Book) Confirm(e End, now time.Time) bool { return b.add(e, confirmed, now) }

// Hear keeps an end that all instances can read, and reports whether it is news here.
func (b *Book) Hear(e End, now time.Time) bool { return b.add(e, listed, now) }

// add brings an end to a stage, and reports whether it had not come that far.
func (b *Book) add(e End, to endState, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.recordLocked(e.Request)
	known := c.ends[e.Server]
	if known == nil {
		known = &endRecord{at: now, state: to}
		c.ends[e.Server] = known
		known.addAttempt(e.Attempt)
		return true
	}
	known.addAttempt(e.Attempt)
	if known.state >= to {
		return false
	}
	known.state = to
	return true
}

// addAttempt adds an attempt.
func (e *endRecord) addAttempt(attempt string) {
	if len(e.attempts) < maxAttempts && !slices.Contains(e.attempts, attempt) {
		e.attempts = append(e.attempts, attempt)
	}
}

// Withdraw takes back an end that was suspected, since the server is there.
func (b *Book) Withdraw(e End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.requests[e.Request]; c != nil && c.ends[e.Server] != nil && c.ends[e.Server].state == suspected {
		b.forgetLocked(e.Request, e.Server)
	}
}

// Forget takes an end back that can no longer be read.
func (b *Book) Forget(e End, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireLocked(e.Request, e.Server, now)
}

// Replace takes over all ends that can be read; those that no longer can are forgotten.
func (b *Book) Replace(ends []End, now time.Time) {
	current := make(map[End]bool, len(ends))
	for _, e := range ends {
		current[End{Request: e.Request, Server: e.Server}] = true
		b.Hear(e, now)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for request, c := range b.requests {
		for server, known := range c.ends {
			if known.state == listed && !current[End{Request: request, Server: server}] {
				b.expireLocked(request, server, now)
			}
		}
	}
}

// Absolve forgets all ends of a request that a server ran without ending, as one that ends each server that begins it never does. It
// returns the number of ends that were forgotten.
func (b *Book) Absolve(request Fingerprint) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.requests[request]
	if c == nil {
		return 0
	}
	if len(c.ends) >= minPublishedClear && len(b.cleared) < b.terms.Most {
		for server := range c.ends {
			b.cleared = append(b.cleared, End{Request: request, Server: server})
		}
	}
	b.removeLocked(request)
	delete(b.released, request)
	return len(c.ends)
}

// Kept reports whether an attempt at a request is kept from servers, and for how long at most.
func (b *Book) Kept(request Fingerprint, attempt string, now time.Time) (time.Duration, bool) {
	if b.Size() == 0 {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.requests[request]
	if c == nil || !b.quarantinedLocked(request, c, attempt) {
		return 0, false
	}
	return max(b.terms.Keep-now.Sub(c.latestEnd()), 0), true
}

// quarantinedLocked reports whether the ends of a request keep an attempt from servers; the caller holds the lock.
func (b *Book) quarantinedLocked(request Fingerprint, c *requestRecord, attempt string) bool {
	if _, wasReleased := b.released[request]; wasReleased {
		return true
	}
	return len(c.ends) >= b.terms.EndsOfOne || len(c.ends) >= b.terms.Ends && c.hasOtherAttempt(attempt)
}

// Ends returns the number of servers that have ended under a request.
func (b *Book) Ends(request Fingerprint) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.requests[request]; c != nil {
		return len(c.ends)
	}
	return 0
}

// Untold returns some ends that others cannot read yet, and some that they should forget.
func (b *Book) Untold(limit int) (ends, cleared []End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cleared = slices.Clone(b.cleared[:min(limit, len(b.cleared))])
	for request, c := range b.requests {
		for server, known := range c.ends {
			if len(ends)+len(cleared) >= limit {
				return ends, cleared
			}
			if known.state == confirmed {
				ends = append(ends, End{Request: request, Server: server, Attempt: known.attempts[0]})
			}
		}
	}
	return ends, cleared
}

// Told notes that what Untold returned was written.
func (b *Book) Told(ends, cleared []End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range ends {
		if c := b.requests[e.Request]; c != nil && c.ends[e.Server] != nil {
			c.ends[e.Server].state, c.ends[e.Server].publishedHere = max(c.ends[e.Server].state, published), true
		}
	}
	b.cleared = b.cleared[len(cleared):]
}

// TellAgain lets the ends that this instance wrote be written once more, since others may not be able to read them any longer. Those that other
// instances wrote are theirs to write, and count here as before.
func (b *Book) TellAgain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.requests {
		for _, known := range c.ends {
			if known.publishedHere {
				known.state = confirmed
			}
		}
	}
	select {
	case b.republish <- struct{}{}:
	default:
	}
}

// Tidy forgets the ends that no longer count.
func (b *Book) Tidy(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for request, c := range b.requests {
		for server, known := range c.ends {
			if now.Sub(known.at) > b.terms.Keep {
				b.expireLocked(request, server, now)
			}
		}
	}
	for request, since := range b.released {
		if now.Sub(since) > releasedFactor*b.terms.Keep {
			delete(b.released, request)
		}
	}
}

// expireLocked forgets an end that counts no more, and remembers the request if it was kept from servers until then; the caller holds the
// lock.
func (b *Book) expireLocked(request Fingerprint, server string, now time.Time) {
	c := b.requests[request]
	if c == nil || c.ends[server] == nil {
		return
	}
	lasted := now.Sub(c.ends[server].at) >= time.Duration(minKeepShare*float64(b.terms.Keep))
	if _, before := b.released[request]; lasted && (before || len(c.ends) >= b.terms.Ends) && len(b.released) < b.terms.Most {
		b.released[request] = now
	}
	b.forgetLocked(request, server)
}

// recordLocked returns the case of a request; one of the others goes when there are too many.
func (b *Book) recordLocked(request Fingerprint) *requestRecord {
	if c := b.requests[request]; c != nil {
		return c
	}
	if len(b.requests) >= b.terms.Most {
		b.evictLocked()
	}
	c := &requestRecord{ends: map[string]*endRecord{}}
	b.requests[request] = c
	b.size.Store(int64(len(b.requests)))
	return c
}

// evictLocked forgets a request under which the fewest servers ended: a flood of requests under which one server ended each costs none
// of those that are kept from servers.
func (b *Book) evictLocked() {
	var least Fingerprint
	fewest := 0
	for request, c := range b.requests {
		if fewest == 0 || len(c.ends) < fewest {
			least, fewest = request, len(c.ends)
		}
		if fewest == 1 {
			break
		}
	}
	b.removeLocked(least)
}

func (b *Book) forgetLocked(request Fingerprint, server string) {
	c := b.requests[request]
	if c == nil {
		return
	}
	delete(c.ends, server)
	if len(c.ends) == 0 {
		b.removeLocked(request)
	}
}

func (b *Book) removeLocked(request Fingerprint) {
	delete(b.requests, request)
	b.size.Store(int64(len(b.requests)))
}

// hasOtherAttempt reports whether a server ended under another attempt.
func (c *requestRecord) hasOtherAttempt(attempt string) bool {
	for _, known := range c.ends {
		for _, a := range known.attempts {
			if a != attempt {
				return true
			}
		}
	}
	return false
}

// latestEnd returns when the last end was learned of.
func (c *requestRecord) latestEnd() time.Time {
	var last time.Time
	for _, known := range c.ends {
		if known.at.After(last) {
			last = known.at
		}
	}
	return last
}
