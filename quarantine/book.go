package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// mostAttempts is the number of attempts that are kept for each end: one tells that another attempt is another one, two that there are
// several.
const mostAttempts = 2

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

// tellAbsolved is the number of ends from which others are told that a request is harmless: one alone keeps it from nothing, and telling
// would double the writes for all that merely ran beside one that ended a server.
const tellAbsolved = 2

const (
	// remembered is how many times longer than an end counts it is remembered that a request was kept from servers: when it is tried again, the
	// first server that ends under it is the last for that time, not the third.
	remembered = 6
	// surely is the part of its time for which an end is kept for certain. One that is gone sooner was taken back.
	surely = 0.5
)

// stage is how far the news of an end has come.
type stage int

const (
	// suspected ends count here; whether the server has ended is being found out.
	suspected stage = iota
	// confirmed ends have to be written where all instances read them.
	confirmed
	// written ends have been written there.
	written
	// shared ends were read there.
	shared
)

// Book holds what servers ended under.
type Book struct {
	terms Terms

	mu    sync.Mutex
	cases map[Fingerprint]*suspect
	// former holds when requests that were kept from servers could be tried again.
	former map[Fingerprint]time.Time
	// absolved are ends that others still have to be told to forget.
	absolved []End
	// size is the number of cases, for those who ask while there are none.
	size atomic.Int64
	// again delivers a value when ends have to be written that were before.
	again chan struct{}
}

// suspect is a request under which servers have ended, each with what is known of that end.
type suspect struct {
	ends map[string]*evidence
}

// evidence is what is known of one end.
type evidence struct {
	attempts []string
	at       time.Time
	stage    stage
	// own is true when this instance wrote the end.
	own bool
}

// NewBook returns a Book without ends.
func NewBook(terms Terms) *Book {
	return &Book{
		terms: terms, cases: map[Fingerprint]*suspect{}, former: map[Fingerprint]time.Time{}, again: make(chan struct{}, 1),
	}
}

// Size returns the number of requests of which ends are known.
func (b *Book) Size() int { return int(b.size.Load()) }

// Suspect keeps an end that this instance may have seen.
func (b *Book) Suspect(e End, now time.Time) { b.add(e, suspected, now) }

// Confirm keeps an end that this instance, or one that cannot write, has seen. It reports whether others have to be told.
func (b *Book) Confirm(e End, now time.Time) bool { return b.add(e, confirmed, now) }

// Hear keeps an end that all instances can read, and reports whether it is news here.
func (b *Book) Hear(e End, now time.Time) bool { return b.add(e, shared, now) }

// add brings an end to a stage, and reports whether it had not come that far.
func (b *Book) add(e End, to stage, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.caseLocked(e.Request)
	known := c.ends[e.Server]
	if known == nil {
		known = &evidence{at: now, stage: to}
		c.ends[e.Server] = known
		known.take(e.Attempt)
		return true
	}
	known.take(e.Attempt)
	if known.stage >= to {
		return false
	}
	known.stage = to
	return true
}

// take adds an attempt.
func (e *evidence) take(attempt string) {
	if len(e.attempts) < mostAttempts && !slices.Contains(e.attempts, attempt) {
		e.attempts = append(e.attempts, attempt)
	}
}

// Withdraw takes back an end that was suspected, since the server is there.
func (b *Book) Withdraw(e End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.cases[e.Request]; c != nil && c.ends[e.Server] != nil && c.ends[e.Server].stage == suspected {
		b.forgetLocked(e.Request, e.Server)
	}
}

// Forget takes an end back that can no longer be read.
func (b *Book) Forget(e End, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lapseLocked(e.Request, e.Server, now)
}

// Replace takes over all ends that can be read; those that no longer can are forgotten.
func (b *Book) Replace(ends []End, now time.Time) {
	listed := make(map[End]bool, len(ends))
	for _, e := range ends {
		listed[End{Request: e.Request, Server: e.Server}] = true
		b.Hear(e, now)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for request, c := range b.cases {
		for server, known := range c.ends {
			if known.stage == shared && !listed[End{Request: request, Server: server}] {
				b.lapseLocked(request, server, now)
			}
		}
	}
}

// Absolve forgets all ends of a request that a server ran without ending, as one that ends each server that begins it never does. It
// returns the number of ends that were forgotten.
func (b *Book) Absolve(request Fingerprint) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.cases[request]
	if c == nil {
		return 0
	}
	if len(c.ends) >= tellAbsolved && len(b.absolved) < b.terms.Most {
		for server := range c.ends {
			b.absolved = append(b.absolved, End{Request: request, Server: server})
		}
	}
	b.removeLocked(request)
	delete(b.former, request)
	return len(c.ends)
}

// Kept reports whether an attempt at a request is kept from servers, and for how long at most.
func (b *Book) Kept(request Fingerprint, attempt string, now time.Time) (time.Duration, bool) {
	if b.Size() == 0 {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.cases[request]
	if c == nil || !b.keepsLocked(request, c, attempt) {
		return 0, false
	}
	return max(b.terms.Keep-now.Sub(c.newest()), 0), true
}

// keepsLocked reports whether the ends of a request keep an attempt from servers; the caller holds the lock.
func (b *Book) keepsLocked(request Fingerprint, c *suspect, attempt string) bool {
	if _, before := b.former[request]; before {
		return true
	}
	return len(c.ends) >= b.terms.EndsOfOne || len(c.ends) >= b.terms.Ends && c.byOther(attempt)
}

// Ends returns the number of servers that have ended under a request.
func (b *Book) Ends(request Fingerprint) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c := b.cases[request]; c != nil {
		return len(c.ends)
	}
	return 0
}

// Untold returns some ends that others cannot read yet, and some that they should forget.
func (b *Book) Untold(most int) (ends, absolved []End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	absolved = slices.Clone(b.absolved[:min(most, len(b.absolved))])
	for request, c := range b.cases {
		for server, known := range c.ends {
			if len(ends)+len(absolved) >= most {
				return ends, absolved
			}
			if known.stage == confirmed {
				ends = append(ends, End{Request: request, Server: server, Attempt: known.attempts[0]})
			}
		}
	}
	return ends, absolved
}

// Told notes that what Untold returned was written.
func (b *Book) Told(ends, absolved []End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range ends {
		if c := b.cases[e.Request]; c != nil && c.ends[e.Server] != nil {
			c.ends[e.Server].stage, c.ends[e.Server].own = max(c.ends[e.Server].stage, written), true
		}
	}
	b.absolved = b.absolved[len(absolved):]
}

// TellAgain lets the ends that this instance wrote be written once more, since others may not be able to read them any longer. Those that other
// instances wrote are theirs to write, and count here as before.
func (b *Book) TellAgain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.cases {
		for _, known := range c.ends {
			if known.own {
				known.stage = confirmed
			}
		}
	}
	select {
	case b.again <- struct{}{}:
	default:
	}
}

// Tidy forgets the ends that no longer count.
func (b *Book) Tidy(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for request, c := range b.cases {
		for server, known := range c.ends {
			if now.Sub(known.at) > b.terms.Keep {
				b.lapseLocked(request, server, now)
			}
		}
	}
	for request, since := range b.former {
		if now.Sub(since) > remembered*b.terms.Keep {
			delete(b.former, request)
		}
	}
}

// lapseLocked forgets an end that counts no more, and remembers the request if it was kept from servers until then; the caller holds the
// lock.
func (b *Book) lapseLocked(request Fingerprint, server string, now time.Time) {
	c := b.cases[request]
	if c == nil || c.ends[server] == nil {
		return
	}
	lasted := now.Sub(c.ends[server].at) >= time.Duration(surely*float64(b.terms.Keep))
	if _, before := b.former[request]; lasted && (before || len(c.ends) >= b.terms.Ends) && len(b.former) < b.terms.Most {
		b.former[request] = now
	}
	b.forgetLocked(request, server)
}

// caseLocked returns the case of a request; one of the others goes when there are too many.
func (b *Book) caseLocked(request Fingerprint) *suspect {
	if c := b.cases[request]; c != nil {
		return c
	}
	if len(b.cases) >= b.terms.Most {
		b.dropLeastLocked()
	}
	c := &suspect{ends: map[string]*evidence{}}
	b.cases[request] = c
	b.size.Store(int64(len(b.cases)))
	return c
}

// dropLeastLocked forgets a request under which the fewest servers ended: a flood of requests under which one server ended each costs none
// of those that are kept from servers.
func (b *Book) dropLeastLocked() {
	var least Fingerprint
	fewest := 0
	for request, c := range b.cases {
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
	c := b.cases[request]
	if c == nil {
		return
	}
	delete(c.ends, server)
	if len(c.ends) == 0 {
		b.removeLocked(request)
	}
}

func (b *Book) removeLocked(request Fingerprint) {
	delete(b.cases, request)
	b.size.Store(int64(len(b.cases)))
}

// byOther reports whether a server ended under another attempt.
func (c *suspect) byOther(attempt string) bool {
	for _, known := range c.ends {
		for _, a := range known.attempts {
			if a != attempt {
				return true
			}
		}
	}
	return false
}

// newest returns when the last end was learned of.
func (c *suspect) newest() time.Time {
	var last time.Time
	for _, known := range c.ends {
		if known.at.After(last) {
			last = known.at
		}
	}
	return last
}
