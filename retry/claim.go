package retry

import (
	"slices"
	"time"
)

// Claim says how a request ranks among those that want a retry. The zero Claim goes before all others.
type Claim struct {
	// Position is the position of the request's rank among the Ranks of its service; 0 is the most urgent. Ranks is at most 1
	// where all requests are equally urgent.
	Position int
	Ranks    int
	// Late is true if the answer can no longer be in time.
	Late bool
}

// order returns the number of classes of claims of the service, and how many of them go before the claim: first all that can be in
// time, and among these, as among the late ones, the more urgent ranks.
func (c Claim) order() (before, classes int) {
	ranks := max(c.Ranks, 1)
	before = min(max(c.Position, 0), ranks-1)
	if c.Late {
		before += ranks
	}
	return before, 2 * ranks
}

// threshold returns how many tokens a bucket must hold for the claim to take one. What the bucket can hold beside that token is
// divided into equal parts, one for each class of claims; a claim leaves the parts of the classes before it. A full bucket is open
// to all.
func (c Claim) threshold(capacity float64) float64 {
	before, classes := c.order()
	return 1 + max(capacity-1, 0)*float64(before)/float64(classes)
}

// Verdict says whether a retry may be made.
type Verdict int

// The verdicts on a Claim.
const (
	// Granted means that the retry is allowed.
	Granted Verdict = iota
	// Kept means that the retries that are left are kept for claims that go before this one.
	Kept
	// Spent means that no retry is left.
	Spent
)

// verdict returns the verdict on a claim, and how many tokens are missing for it to be Granted.
func (k *bucket) verdict(c Claim, capacity float64) (verdict Verdict, missing float64) {
	missing = c.threshold(capacity) - k.tokens
	switch {
	case missing <= 0:
		return Granted, 0
	case k.tokens >= 1:
		return Kept, missing
	default:
		return Spent, missing
	}
}

// TakeFor is like Take, but leaves what is kept for claims that go before this one.
func (b *Budget) TakeFor(c Claim, service string, instances int, now time.Time) Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service)
	capacity := k.refill(b.limit, instances, now)
	verdict, _ := k.verdict(c, capacity)
	if verdict == Granted {
		k.tokens--
		k.taken = append(k.taken, takenToken{at: now, worth: 1})
	}
	return verdict
}

// Check returns what TakeFor would return, and takes nothing. Unless the claim is Granted, after is how long it is expected to take
// until it is, at the rate at which the budget is refilled now and if nobody else takes a retry; it is at most the window of the
// Limit.
func (b *Budget) Check(c Claim, service string, instances int, now time.Time) (verdict Verdict, after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service)
	capacity := k.refill(b.limit, instances, now)
	verdict, missing := k.verdict(c, capacity)
	perWindow := refillFraction * b.limit.perWindow(k.requests.Sum(now), instances)
	if missing >= perWindow {
		return verdict, b.limit.Window
	}
	return verdict, time.Duration(missing / perWindow * float64(b.limit.Window))
}

// Return gives back a retry that was taken at the given time and not used. As much of it is dropped as the bucket would have had no
// room for since, so that the budget is never larger than if the retry had not been taken.
func (b *Budget) Return(service string, taken time.Time, instances int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service)
	k.refill(b.limit, instances, now)
	i := slices.IndexFunc(k.taken, func(t takenToken) bool { return t.at.Equal(taken) })
	if i < 0 {
		return
	}
	k.tokens += k.taken[i].worth
	k.taken = slices.Delete(k.taken, i, i+1)
}
